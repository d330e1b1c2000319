package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.zip.CRC32C;
import myrtleladder.protocol.LeaveRequest;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.TallyAddition;
import myrtleladder.result.ResultCode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The tally log with torn, missing and damaged ends, and on a disk that fails. */
class TallyLogTest {
    @TempDir Path folder;
    private Path file;
    private final FailingLogFileAccess disk = new FailingLogFileAccess();

    @BeforeEach
    void setLogFile() {
        file = folder.resolve("tally.log");
    }

    private static TallyAddition addition(long sequence) {
        return TallyAddition.of("r1", sequence, "tally", "id-" + sequence, 10 * sequence);
    }

    private static List<TallyAddition> additions(long first, long last) {
        List<TallyAddition> additions = new ArrayList<>();
        for (long sequence = first; sequence <= last; sequence++) {
            additions.add(addition(sequence));
        }
        return additions;
    }

    private static String text(List<TallyAddition> additions) {
        StringBuilder text = new StringBuilder();
        for (TallyAddition a : additions) {
            text.append(
                    "%s/%d %s %s %d\n".formatted(a.replica, a.sequence, a.tally, a.id, a.amount));
        }
        return text.toString();
    }

    private static void assertAdditions(
            List<TallyAddition> expected, List<TallyAddition> actual, String situation) {
        assertEquals(text(expected), text(actual), situation);
    }

    /** Loads the expected additions, appends one more, and loads them all again. */
    private void assertLoadsAndAppends(List<TallyAddition> expected, String situation) {
        TallyLog log = new TallyLog(folder);
        assertAdditions(expected, log.load(), situation);
        List<TallyAddition> all = new ArrayList<>(expected);
        all.addAll(additions(100, 100));
        log.append(additions(100, 100));
        assertAdditions(all, new TallyLog(folder).load(), situation);
    }

    private void assertAppendFails(TallyLog log, List<TallyAddition> additions) {
        StorageException failure =
                assertThrows(StorageException.class, () -> log.append(additions));
        assertEquals(ResultCode.DISK_WRITE, failure.code());
        assertTrue(failure.getMessage().startsWith("E300 DISK_WRITE"), failure.getMessage());
    }

    @Test
    void additionsAreLoadedInTheOrderOfTheirAppends() {
        TallyLog log = new TallyLog(folder.resolve("new"));
        assertAdditions(List.of(), log.load(), "no file");
        log.append(additions(1, 3));
        log.append(List.of());
        log.append(additions(4, 4));
        TallyLog reopened = new TallyLog(folder.resolve("new"));
        assertAdditions(additions(1, 4), reopened.load(), "reopened");
        reopened.append(additions(5, 6));
        assertAdditions(additions(1, 6), new TallyLog(folder.resolve("new")).load(), "again");
    }

    @Test
    void logRecreatedAfterADiskLossIsCompleteOnlyOnceMarked() {
        TallyLog made = new TallyLog(folder);
        assertFalse(made.exists());
        made.create();
        made.append(additions(1, 2));
        TallyLog unmarked = new TallyLog(folder);
        assertTrue(unmarked.exists());
        assertAdditions(additions(1, 2), unmarked.load(), "unmarked");
        assertFalse(unmarked.isComplete());
        unmarked.markComplete();
        unmarked.markComplete();
        unmarked.append(additions(3, 3));
        TallyLog marked = new TallyLog(folder);
        assertAdditions(additions(1, 3), marked.load(), "marked");
        assertTrue(marked.isComplete());
    }

    @Test
    void emptyFileOfACrashBeforeTheFirstSyncIsALogWithoutAdditions() throws Exception {
        Files.createFile(file);
        assertLoadsAndAppends(List.of(), "empty file");
    }

    @Test
    void fileTornAtAnyByteKeepsThePrefixOfCompleteAppends() throws Exception {
        TallyLog log = new TallyLog(folder);
        List<Integer> ends = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            log.append(additions(i, i));
            ends.add((int) Files.size(file));
        }
        byte[] complete = Files.readAllBytes(file);
        for (int length = 0; length <= complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            for (byte[] torn : List.of(truncated, Arrays.copyOf(truncated, complete.length + 50))) {
                long completeAppends =
                        ends.stream()
                                .filter(end -> end <= torn.length)
                                .filter(end -> Arrays.equals(torn, 0, end, complete, 0, end))
                                .count();
                Files.write(file, torn);
                assertLoadsAndAppends(
                        additions(1, completeAppends), length + " of " + torn.length + " bytes");
            }
        }
    }

    @Test
    void flippedBitEndsTheLogBeforeItsFrame() throws Exception {
        TallyLog log = new TallyLog(folder);
        log.append(additions(1, 2));
        int durable = (int) Files.size(file);
        log.append(additions(3, 4));
        byte[] complete = Files.readAllBytes(file);
        for (int bit = durable * Byte.SIZE; bit < complete.length * Byte.SIZE; bit++) {
            byte[] flipped = complete.clone();
            flipped[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
            Files.write(file, flipped);
            assertAdditions(additions(1, 2), new TallyLog(folder).load(), "bit " + bit);
            assertEquals(durable, Files.size(file), "bit " + bit);
        }
    }

    @Test
    void lostFirstFrameOfAnAppendDiscardsItsSecondFrame() throws Exception {
        TallyLog log = new TallyLog(folder);
        log.append(additions(1, 1));
        int durable = (int) Files.size(file);
        List<TallyAddition> many = additions(2, 20_000);
        log.append(many);
        byte[] bytes = Files.readAllBytes(file);
        int frameLength = 2 * Integer.BYTES + ByteBuffer.wrap(bytes).getInt(durable);
        assertTrue(durable + frameLength < bytes.length, "the append has several frames");
        assertAdditions(additions(1, 20_000), new TallyLog(folder).load(), "complete");
        Arrays.fill(bytes, durable, durable + frameLength, (byte) 0);
        Files.write(file, bytes);
        assertLoadsAndAppends(additions(1, 1), "first frame lost");
    }

    @Test
    void failedWriteIsTruncatedBeforeTheNextOne() throws Exception {
        TallyLog log = new TallyLog(folder, disk);
        log.append(additions(1, 2));
        for (int written = 0; written < 30; written++) {
            disk.writableBytes = written;
            assertAppendFails(log, additions(50, 60));
            disk.writableBytes = -1;
            disk.failsToForce = true;
            assertAppendFails(log, additions(50, 60));
            disk.failsToForce = false;
            log.append(additions(3 + written, 3 + written));
            assertAdditions(
                    additions(1, 3 + written), new TallyLog(folder).load(), "after " + written);
        }
    }

    @Test
    void appendsFailUntilTheFailedOneCanBeTruncated() throws Exception {
        TallyLog log = new TallyLog(folder, disk);
        log.append(additions(1, 2));
        disk.failsToForce = true;
        disk.failsToTruncate = true;
        assertAppendFails(log, additions(50, 60));
        disk.failsToForce = false;
        assertAppendFails(log, additions(3, 3));
        disk.failsToTruncate = false;
        log.append(additions(3, 3));
        assertAdditions(additions(1, 3), new TallyLog(folder).load(), "after the failures");
    }

    @Test
    void loadSyncsTheUnsyncedAppendsOfAKilledProcess() {
        new TallyLog(folder).append(additions(1, 2));
        assertAdditions(additions(1, 2), new TallyLog(folder, disk).load(), "reopened");
        assertEquals(1, disk.forces);
        disk.failsToForce = true;
        StorageException failure =
                assertThrows(StorageException.class, () -> new TallyLog(folder, disk).load());
        assertEquals(ResultCode.DISK_WRITE, failure.code());
        assertAdditions(additions(1, 2), new TallyLog(folder).load(), "nothing was truncated");
    }

    @Test
    void fileOfAnUnknownFormatIsRefusedAndLeftUnchanged() throws Exception {
        new TallyLog(folder).append(additions(1, 2));
        byte[] known = Files.readAllBytes(file);
        for (byte[] content :
                List.of(new byte[] {Byte.MAX_VALUE}, MessageCodec.encode(new LeaveRequest()))) {
            byte[] both = Arrays.copyOf(known, known.length + 8 + content.length);
            ByteBuffer.wrap(both).position(known.length).put(frame(content));
            Files.write(file, both);
            StorageException failure =
                    assertThrows(StorageException.class, () -> new TallyLog(folder).load());
            assertEquals(ResultCode.DISK_FORMAT, failure.code());
            assertArrayEquals(both, Files.readAllBytes(file));
        }
    }

    private static byte[] frame(byte[] content) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(4).putInt(content.length).flip());
        checksum.update(content);
        ByteBuffer frame = ByteBuffer.allocate(8 + content.length);
        return frame.putInt(content.length).putInt((int) checksum.getValue()).put(content).array();
    }

    @Test
    void unreadableFileIsReportedAndNotTreatedAsEmpty() throws Exception {
        Files.createDirectory(file);
        StorageException failure =
                assertThrows(StorageException.class, () -> new TallyLog(folder).load());
        assertEquals(ResultCode.DISK_DAMAGED, failure.code());
    }

    @Test
    void additionLongerThanAFrameIsRefusedAndLeavesTheLogAsItWas() {
        TallyLog log = new TallyLog(folder, disk);
        log.append(additions(1, 1));
        String id = "x".repeat(TallyLogFormat.MAX_CONTENT_BYTES);
        assertAppendFails(log, List.of(addition(2), TallyAddition.of("r1", 3, "tally", id, 1)));
        log.append(additions(2, 2));
        assertAdditions(additions(1, 2), new TallyLog(folder).load(), "after the refusal");
    }

    @Test
    void frameHasItsGoldenBytes() throws Exception {
        String golden =
                "0000002f1e4bbbf0"
                        + "130b0a02723110011a0574616c6c79220469642d31280a0c"
                        + "0b0a02723110021a0574616c6c79220469642d3228140c";
        byte[] bytes = TallyLogFormat.encode(additions(1, 2)).array();
        assertEquals(golden, HexFormat.of().formatHex(bytes));
        Files.write(file, HexFormat.of().parseHex(golden));
        assertAdditions(additions(1, 2), new TallyLog(folder).load(), "golden");
    }
}
