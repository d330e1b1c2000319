package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import myrtleladder.configuration.Compression;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.ConfigurationDocument;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.StoredState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The state files of three control nodes, two generations of each, compared with golden files that
 * the program wrote. An upgraded node starts from the files of the previous version, so the file
 * names, the table format, the checksum and the message encoding must not change.
 */
class StateStoreCompatibilityTest {
    private static final Path GOLDEN = Path.of("src/test/resources/compatibility/state");

    @TempDir Path folder;

    private StateStore copyOf(String node) throws IOException {
        for (Path file : files(GOLDEN.resolve(node))) {
            Files.copy(file, folder.resolve(file.getFileName()));
        }
        return new StateStore(folder);
    }

    private static List<Path> files(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.sorted().toList();
        }
    }

    private static String name(long generation) {
        return String.format("state-%016d.table", generation);
    }

    private static void assertContents(int node, long epoch, StoredState state) {
        assertEquals("store-core-" + node, state.storeId);
        assertEquals(epoch + 1, state.promisedEpoch);
        assertEquals(epoch, state.acceptedView.epoch);
        assertEquals("10.0.0.1:8367", state.acceptedView.primary.address);
        assertEquals("10.0.0.1:8368", state.acceptedView.primary.controlAddress);
        assertEquals("store-core-1", state.acceptedView.primary.storeId);
        assertEquals(1, state.acceptedView.replicas.size());
        assertEquals("store-core-2", state.acceptedView.replicas.get(0).storeId);
        assertEquals(
                List.of("store-core-1", "store-core-2", "store-core-3"),
                state.acceptedView.group.stream().map(m -> m.storeId).toList());
        assertEquals(
                List.of("store-core-1", "store-core-2"),
                state.acceptedView.previousGroup.stream().map(m -> m.storeId).toList());
        assertEquals(17, state.snapshot.generation);
        assertEquals(List.of("order-1", "order-" + node), state.snapshot.changeDigests);
    }

    @ParameterizedTest
    @CsvSource({"1,11,5", "2,12,6", "3,13,7"})
    void theNewestStateOfANodeIsRead(int node, long epoch, long generation) throws IOException {
        StateStore store = copyOf("core-" + node);
        assertContents(node, epoch, store.load());
        assertEquals(name(generation), store.files().get(0).path().getFileName().toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void theConfigurationAndItsQuotasAreRead(int node) throws IOException {
        StoredState state = copyOf("core-" + node).load();
        Configuration configuration =
                ConfigurationDocument.fromStored(
                                Compression.inflate(state.snapshot.document),
                                state.snapshot.generation)
                        .configuration();
        assertEquals(17, configuration.generation());
        assertEquals("r2", configuration.matchRoute("h.example", "/b/x").name());
        assertEquals(7.5, configuration.tenantByApiKey("k1").ratePerSecond());
        assertEquals(80.5, configuration.tenantByApiKey("k1").burst());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void theUpstreamsAreRead(int node) throws IOException {
        List<InstanceRecord> records = copyOf("core-" + node).load().instances;
        assertEquals(
                List.of(Stage.READY, Stage.LOST, Stage.DRAINING, Stage.GONE),
                records.stream().map(r -> r.stage).toList());
        InstanceRecord draining = records.get(2);
        assertEquals("i-" + node + "-2", draining.id);
        assertEquals("s1", draining.service);
        assertEquals("10.0.1.2:80", draining.address);
        assertEquals("zone-2", draining.zone);
        assertEquals(10, draining.capacity);
        assertEquals("version-2", draining.version);
        assertEquals(102, draining.heartbeatSequence);
        assertEquals(202, draining.weightsVersion);
        assertEquals(3, draining.ordinal);
    }

    @ParameterizedTest
    @CsvSource({"1,11,5", "2,12,6", "3,13,7"})
    void aNodeSavesTheNextGenerationAndLoadsItAgain(int node, long epoch, long generation)
            throws IOException {
        StateStore store = copyOf("core-" + node);
        Member candidate = Member.of("10.0.0.9:8367", "10.0.0.9:8368", "store-core-9");
        store.save(store.load().withPromise(99, candidate));
        assertEquals(
                List.of(name(generation), name(generation + 1)),
                files(folder).stream().map(f -> f.getFileName().toString()).toList());
        StoredState again = new StateStore(folder).load();
        assertTrue(again.hasPromised(99, candidate));
        assertEquals(epoch, again.acceptedView.epoch);
    }

    @ParameterizedTest
    @CsvSource({"1,11,5", "2,12,6", "3,13,7"})
    void aDamagedFileIsRenamedAndThePreviousGenerationIsUsed(int node, long epoch, long generation)
            throws IOException {
        StateStore store = copyOf("core-" + node);
        Path newest = folder.resolve(name(generation));
        byte[] bytes = Files.readAllBytes(newest);
        bytes[bytes.length / 2] ^= 1;
        Files.write(newest, bytes);
        assertContents(node, epoch - 10, store.load());
        assertFalse(Files.exists(newest));
        Path damagedFile = folder.resolve(name(generation) + ".damaged");
        assertTrue(Files.exists(damagedFile));
        assertArrayEquals(bytes, Files.readAllBytes(damagedFile));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void aFreshSaveHasTheGoldenBytes(int node) throws IOException {
        Path golden = files(GOLDEN.resolve("core-" + node)).get(1);
        new StateStore(folder).save(StateStore.read(golden));
        assertArrayEquals(Files.readAllBytes(golden), Files.readAllBytes(folder.resolve(name(1))));
    }

    @Test
    void aStateOfSeveralPartsIsReadAndWrittenAgainUnchanged() throws IOException {
        Path golden = GOLDEN.resolve("large").resolve(name(1));
        byte[] document = new byte[20_000];
        new SplittableRandom(5).nextBytes(document);
        StoredState state = StateStore.read(golden);
        assertArrayEquals(document, state.snapshot.document);
        new StateStore(folder).save(state);
        assertArrayEquals(Files.readAllBytes(golden), Files.readAllBytes(folder.resolve(name(1))));
    }
}
