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

/** Group commit and callbacks, on a disk whose syncs the test releases one by one. */
@Timeout(30)
class AsyncTallyWriterTest {
    @TempDir Path folder;
    private final SteppedFileAccess disk = new SteppedFileAccess();
    private final BlockingQueue<Runnable> eventLoop = new LinkedBlockingQueue<>();
    private final List<String> results = new ArrayList<>();

    /** Announces each sync and blocks it until the test releases a permit. */
    private static final class SteppedFileAccess extends LogFileAccess {
        private final Semaphore startedForces = new Semaphore(0);
        private final Semaphore forcePermits = new Semaphore(0);
        private volatile boolean failsToForce;

        @Override
        void force(FileChannel channel) throws IOException {
            startedForces.release();
            forcePermits.acquireUninterruptibly();
            if (failsToForce) {
                throw new IOException("Input/output error");
            }
            super.force(channel);
        }
    }

    private AsyncTallyWriter startedWriter() {
        AsyncTallyWriter writer = new AsyncTallyWriter(eventLoop::add, new TallyLog(folder, disk));
        writer.start();
        return writer;
    }

    private void append(AsyncTallyWriter writer, long sequence) {
        TallyAddition addition = TallyAddition.of("r", sequence, "t", "i" + sequence, 1);
        writer.append(List.of(addition), done -> results.add(sequence + " " + done));
    }

    private void runNextTask() throws InterruptedException {
        eventLoop.poll(20, TimeUnit.SECONDS).run();
    }

    private List<Long> loadedSequences() {
        return new TallyLog(folder).load().stream().map(addition -> addition.sequence).toList();
    }

    @Test
    void appendsDuringASyncAreGroupedIntoTheNextOne() throws Exception {
        AsyncTallyWriter writer = startedWriter();
        append(writer, 1);
        disk.startedForces.acquire();
        for (int sequence = 2; sequence <= 50; sequence++) {
            append(writer, sequence);
        }
        assertEquals(0, eventLoop.size(), "no append is durable before the first sync");
        disk.forcePermits.release();
        runNextTask();
        assertEquals(List.of("1 true"), results);
        disk.startedForces.acquire();
        assertEquals(0, eventLoop.size(), "the second write is not durable before its sync");
        disk.forcePermits.release();
        runNextTask();
        List<String> expected = new ArrayList<>();
        List<Long> sequences = new ArrayList<>();
        for (long sequence = 1; sequence <= 50; sequence++) {
            expected.add(sequence + " true");
            sequences.add(sequence);
        }
        assertEquals(expected, results, "callbacks run in the order of the appends");
        assertEquals(sequences, loadedSequences());
    }

    @Test
    void failedWriteIsReportedAndTheNextOneSucceeds() throws Exception {
        AsyncTallyWriter writer = startedWriter();
        disk.failsToForce = true;
        append(writer, 1);
        disk.startedForces.acquire();
        append(writer, 2);
        disk.forcePermits.release();
        runNextTask();
        disk.startedForces.acquire();
        append(writer, 1);
        disk.forcePermits.release();
        runNextTask();
        assertEquals(List.of("1 false", "2 false"), results);
        disk.startedForces.acquire();
        disk.failsToForce = false;
        disk.forcePermits.release();
        runNextTask();
        assertEquals(List.of("1 false", "2 false", "1 true"), results);
        assertEquals(List.of(1L), loadedSequences());
    }

    /** Guards against a callback that fails and leaves later ones waiting for their result. */
    @Test
    void callbacksBehindOneThatFailsReceiveTheResult() throws Exception {
        AsyncTallyWriter writer = startedWriter();
        append(writer, 1);
        disk.startedForces.acquire();
        writer.append(
                List.of(),
                done -> {
                    throw new IllegalStateException("a bug");
                });
        writer.append(
                List.of(),
                done -> {
                    throw new StackOverflowError();
                });
        writer.append(List.of(), done -> results.add("behind " + done));
        disk.forcePermits.release();
        runNextTask();
        runNextTask();
        assertEquals(List.of("1 true", "behind true"), results);
    }

    @Test
    void emptyAppendIsAnsweredInOrder() throws Exception {
        AsyncTallyWriter writer = startedWriter();
        append(writer, 1);
        disk.startedForces.acquire();
        writer.append(List.of(), done -> results.add("nothing " + done));
        disk.forcePermits.release();
        runNextTask();
        runNextTask();
        assertEquals(List.of("1 true", "nothing true"), results);
    }
}
