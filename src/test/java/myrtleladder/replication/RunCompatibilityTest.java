package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import myrtleladder.cluster.GoldenFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares digests of whole runs on the manual clock, with crashes, pauses and partitions, to
 * recorded ones. A digest covers, for each millisecond, each node's role, epoch and stored bytes,
 * and the acknowledged changes. The delays of all messages and saves are drawn from one generator,
 * so its next number at the end of a run reveals a different number of messages or saves. A
 * refactoring must keep the digests; a change of behaviour has to update them and state so.
 */
class RunCompatibilityTest {
    private static final GoldenFile GOLDEN = new GoldenFile("replication-runs.txt");
    private static final HexFormat HEX = HexFormat.of();

    private static String run(long seed, int size, int tolerated) throws Exception {
        VirtualCluster cluster = new VirtualCluster(seed, size, 3, tolerated);
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        Map<String, String> lastValues = new LinkedHashMap<>();
        runAndDigest(cluster, 4_000, lastValues, digest);
        cluster.submitChange();
        runAndDigest(cluster, 1_000, lastValues, digest);
        cluster.node(0).kill();
        runAndDigest(cluster, 3_000, lastValues, digest);
        cluster.submitChange();
        runAndDigest(cluster, 1_000, lastValues, digest);
        cluster.node(0).start(false);
        cluster.node(1).pausedUntilMs = cluster.clock.now() + 3_000;
        runAndDigest(cluster, 5_000, lastValues, digest);
        cluster.submitChange();
        cluster.isolate(cluster.node(2).address);
        runAndDigest(cluster, 4_000, lastValues, digest);
        cluster.network.heal();
        cluster.submitChange();
        runAndDigest(cluster, 4_000, lastValues, digest);
        return String.join(
                " ",
                "epoch " + cluster.primary().replica.epoch(),
                "of " + cluster.primary().address,
                cluster.acknowledged + ",",
                "next " + Long.toHexString(cluster.random.nextLong()) + ",",
                HEX.formatHex(digest.digest()));
    }

    /** Advances the clock and digests the changes at the end of each millisecond. */
    private static void runAndDigest(
            VirtualCluster cluster,
            int durationMs,
            Map<String, String> lastValues,
            MessageDigest digest) {
        for (int i = 0; i < durationMs; i++) {
            cluster.clock.run(1);
            for (VirtualNode node : cluster.nodes.values()) {
                String state =
                        node.isRunning()
                                ? node.replica.state().ordinal() + " " + node.replica.epoch()
                                : "down";
                String disk =
                        node.disk.content() == null ? "empty" : HEX.formatHex(node.disk.content());
                digestIfChanged(cluster, node.address, state + " " + disk, lastValues, digest);
            }
            digestIfChanged(cluster, "client", cluster.acknowledged.toString(), lastValues, digest);
        }
    }

    private static void digestIfChanged(
            VirtualCluster cluster,
            String source,
            String value,
            Map<String, String> lastValues,
            MessageDigest digest) {
        if (!value.equals(lastValues.put(source, value))) {
            String line = cluster.clock.now() + " " + source + " " + value + "\n";
            digest.update(line.getBytes(StandardCharsets.UTF_8));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void runOfThreeNodesMatchesTheRecordedDigest(long seed) throws Exception {
        GOLDEN.assertWritten("three nodes, seed " + seed, run(seed, 3, 1));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void runOfSixNodesMatchesTheRecordedDigest(long seed) throws Exception {
        GOLDEN.assertWritten("six nodes, seed " + seed, run(seed, 6, 2));
    }

    @Test
    void runsWithTheSameSeedAreIdentical() throws Exception {
        assertEquals(run(11, 4, 1), run(11, 4, 1));
    }
}
