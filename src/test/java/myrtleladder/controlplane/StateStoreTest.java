package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.View;
import myrtleladder.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Saving and loading of the state: intact files, truncated files, files with zeroed pages, an old
 * file that reappears, and a failed write.
 */
class StateStoreTest {
    @TempDir Path folder;

    private static StoredState state(long promised, int size) {
        byte[] document = new byte[size];
        new SplittableRandom(promised).nextBytes(document);
        Member member = Member.of("a:1", "a:2", "s");
        View view = View.of(promised, member, List.of(member), List.of(member), List.of(member));
        return StoredState.of(
                "s", promised, view, Snapshot.of(document, promised, List.of("o1", "o2")));
    }

    private void assertLoads(long promised, int size) {
        StoredState loaded = new StateStore(folder).load();
        assertEquals(promised, loaded.promisedEpoch);
        assertArrayEquals(state(promised, size).snapshot.document, loaded.snapshot.document);
        assertEquals(List.of("o1", "o2"), loaded.snapshot.changeDigests);
        assertEquals("s", loaded.acceptedView.primary.storeId);
    }

    private Path newest() {
        return new StateStore(folder).files().get(0).path();
    }

    @Test
    void fileIsNotMuchLongerThanItsState() throws Exception {
        StateStore store = new StateStore(folder);
        for (int size : new int[] {0, 1, 8_000, 60_000, 130_000, 1_100_000}) {
            store.save(state(5, size));
            long length = Files.size(newest());
            assertTrue(length < 2 * size + 2_000, size + " bytes take " + length);
            assertLoads(5, size);
        }
    }

    @Test
    void stateThatEndsWithZerosIsRestoredCompletely() {
        StoredState zeros =
                StoredState.of("s", 1, null, Snapshot.of(new byte[70_000], 1, List.of()));
        new StateStore(folder).save(zeros);
        StoredState loaded = new StateStore(folder).load();
        assertArrayEquals(new byte[70_000], loaded.snapshot.document);
    }

    @Test
    void newestStateIsLoadedAndOldFilesAreRemoved() throws Exception {
        StateStore store = new StateStore(folder);
        assertNull(store.load());
        for (int i = 1; i <= 10; i++) {
            store.save(state(i, i * 20_000));
        }
        assertLoads(10, 200_000);
        try (Stream<Path> files = Files.list(folder)) {
            assertEquals(2, files.count());
        }
    }

    @Test
    void tornFileIsRenamedAndThePreviousOneLoaded() throws Exception {
        StateStore store = new StateStore(folder);
        store.save(state(1, 30_000));
        store.save(state(2, 30_000));
        byte[] complete = Files.readAllBytes(newest());
        Path file = newest();
        Path other = new StateStore(folder).files().get(1).path();
        byte[] before = Files.readAllBytes(other);
        for (int truncatedLength = 0; truncatedLength < complete.length; truncatedLength += 4_096) {
            Files.write(file, Arrays.copyOf(complete, truncatedLength));
            assertLoads(1, 30_000);
            Files.deleteIfExists(file.resolveSibling(file.getFileName() + ".damaged"));
            Files.write(other, before);
        }
    }

    @Test
    void missingPagesAreDetected() throws Exception {
        StateStore store = new StateStore(folder);
        store.save(state(1, 30_000));
        store.save(state(2, 30_000));
        Path file = newest();
        byte[] complete = Files.readAllBytes(file);
        for (int page = 0; page < complete.length; page += 4_096) {
            byte[] torn = complete.clone();
            Arrays.fill(torn, page, Math.min(complete.length, page + 4_096), (byte) 0);
            if (Arrays.equals(torn, complete)) {
                continue;
            }
            Files.write(file, torn);
            long promised = new StateStore(folder).load().promisedEpoch;
            Path damagedFile = file.resolveSibling(file.getFileName() + ".damaged");
            assertEquals(Files.exists(damagedFile) ? 1 : 2, promised, "page at " + page);
            Files.deleteIfExists(damagedFile);
        }
    }

    @Test
    void oldFileWhoseRemovalWasLostIsNotLoaded() throws Exception {
        StateStore store = new StateStore(folder);
        store.save(state(1, 100));
        Path first = newest();
        byte[] bytes = Files.readAllBytes(first);
        store.save(state(2, 100));
        store.save(state(3, 100));
        Files.write(first, bytes);
        assertLoads(3, 100);
        new StateStore(folder).load();
        StateStore again = new StateStore(folder);
        again.load();
        again.save(state(4, 100));
        assertLoads(4, 100);
    }

    @Test
    void failedWriteIsReportedWithItsErrorCode() throws Exception {
        StateStore store = new StateStore(folder.resolve("sub"));
        Files.delete(folder.resolve("sub"));
        Files.write(folder.resolve("sub"), new byte[] {1});
        StorageException failure =
                assertThrows(StorageException.class, () -> store.save(state(1, 10)));
        assertEquals(ResultCode.DISK_WRITE, failure.code());
        assertTrue(failure.getMessage().startsWith("E300 DISK_WRITE"));
    }
}
