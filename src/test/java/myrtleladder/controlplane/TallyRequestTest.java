package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Tally additions and reads that applications send to a node. The request field {@code owner} holds
 * the amount to add.
 */
class TallyRequestTest {
    private final ControlPlaneFixture node = new ControlPlaneFixture();

    @Test
    void additionIsAcknowledgedAndRead() {
        RecordedExchange added =
                node.send(RecordedExchange.of("POST", "/tallies/t3", "{'id':'a','owner':4}"), 50);
        RecordedExchange read = node.send(RecordedExchange.of("GET", "/tallies/t3", ""), 0);
        assertEquals(200, added.status);
        assertEquals(200, read.status);
        assertEquals("{\"total\":4}", read.body);
    }
}
