package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import myrtleladder.protocol.TallyAddition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Group commit and callbacks, with a disk that syncs when the test lets it. */
@Timeout(30)
class AsyncTallyWriterTest {
    @TempDir Path folder;
    private final SteppedAccess disk = new SteppedAccess();
    private final BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private final List<String> results = new ArrayList<>();

    /** Each sync waits for a permit, and tells that it waits. */
    private static final class SteppedAccess extends LogFileAccess {
        private final Semaphore begun = new Semaphore(0);
        private final Semaphore permits = new Semaphore(0);
        private volatile boolean fails;

        @Override
        void force(FileChannel channel) throws IOException {
            begun.release();
            permits.acquireUninterruptibly();
            if (fails) {
                throw new IOException("Input/output error");
            }
            super.force(channel);
        }
    }

    private AsyncTallyWriter started() {
        AsyncTallyWriter writer = new AsyncTallyWriter(loop::add, new TallyLog(folder, disk));
        writer.start();
        return writer;
    }

    private void append(AsyncTallyWriter writer, long sequence) {
        TallyAddition addition = TallyAddition.of("r", sequence, "t", "i" + sequence, 1);
        writer.append(List.of(addition), done -> results.add(sequence + " " + done));
    }

    private void runNextTask() throws InterruptedException {
        loop.poll(20, TimeUnit.SECONDS).run();
    }

    private List<Long> loaded() {
        return new TallyLog(folder).load().stream().map(addition -> addition.sequence).toList();
    }

    @Test
    void allThatWaitsForASyncSharesTheNextOne() throws Exception {
        AsyncTallyWriter writer = started();
        append(writer, 1);
        disk.begun.acquire();
        for (int sequence = 2; sequence <= 50; sequence++) {
            append(writer, sequence);
        }
        assertEquals(0, loop.size(), "nothing is durable");
        disk.permits.release();
        runNextTask();
        assertEquals(List.of("1 true"), results);
        disk.begun.acquire();
        assertEquals(0, loop.size(), "the second write is not durable");
        disk.permits.release();
        runNextTask();
        List<String> expected = new ArrayList<>();
        List<Long> sequences = new ArrayList<>();
        for (long sequence = 1; sequence <= 50; sequence++) {
            expected.add(sequence + " true");
            sequences.add(sequence);
        }
        assertEquals(expected, results, "in the order of the appends");
        assertEquals(sequences, loaded());
    }

    @Test
    void failedWriteIsToldAndTheNextOneSucceeds() throws Exception {
        AsyncTallyWriter writer = started();
        disk.fails = true;
        append(writer, 1);
        disk.begun.acquire();
        append(writer, 2);
        disk.permits.release();
        runNextTask();
        disk.begun.acquire();
        append(writer, 1);
        disk.permits.release();
        runNextTask();
        assertEquals(List.of("1 false", "2 false"), results);
        disk.begun.acquire();
        disk.fails = false;
        disk.permits.release();
        runNextTask();
        assertEquals(List.of("1 false", "2 false", "1 true"), results);
        assertEquals(List.of(1L), loaded());
    }

    @Test
    void appendOfNothingIsAnsweredInItsTurn() throws Exception {
        AsyncTallyWriter writer = started();
        append(writer, 1);
        disk.begun.acquire();
        writer.append(List.of(), done -> results.add("nothing " + done));
        disk.permits.release();
        runNextTask();
        runNextTask();
        assertEquals(List.of("1 true", "nothing true"), results);
    }
}
