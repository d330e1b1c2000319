package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import myrtleladder.configuration.Compression;
import myrtleladder.protocol.Snapshot;
import org.junit.jupiter.api.Test;

/** Guards against a stored document that cannot be read and that keeps a primary from starting. */
class CommittedConfigurationTest {
    private final List<Long> applied = new ArrayList<>();
    private final List<String> updates = new ArrayList<>();
    private final CommittedConfiguration committed =
            new CommittedConfiguration(
                    (configuration, isFirst) -> applied.add(configuration.generation()),
                    () -> updates.add("update"));

    private static Snapshot snapshot(long generation, String document) {
        byte[] stored = Compression.deflate(document.getBytes(StandardCharsets.UTF_8));
        return Snapshot.of(stored, generation, List.of());
    }

    @Test
    void aDocumentThatCannotBeReadIsKeptUntilItIsReplaced() {
        committed.recover(snapshot(3, "{\"generation\":3,\"a\":\"\\"));
        assertEquals(3, committed.generation());
        assertEquals(List.of(), applied);
        committed.commit(snapshot(5, "{\"generation\":5}"));
        assertEquals(List.of(5L), applied);
        assertEquals(List.of("update", "update"), updates);
    }
}
