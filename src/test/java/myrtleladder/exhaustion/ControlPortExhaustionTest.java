package myrtleladder.exhaustion;

import static myrtleladder.exhaustion.ExhaustionFleet.MACHINE_DESCRIPTORS;
import static myrtleladder.exhaustion.ExhaustionFleet.MAX_BODY_BYTES;
import static myrtleladder.exhaustion.ExhaustionFleet.control;

import org.junit.jupiter.api.Test;

/** Misbehaving callers at the port of a control process for operators and upstreams. */
class ControlPortExhaustionTest extends ExhaustionTestCase {
    private static final int CROWD = 60;

    /** More than any socket buffer takes. */
    private static final int UNREAD_ANSWERS = 1_000_000;

    private static final String TARGET = "/config";

    @Test
    void incompleteHeads() throws Exception {
        assertServesBeside(control(), Payload.incompleteHead(60_000), 400);
    }

    @Test
    void emptyLines() throws Exception {
        assertServesBeside(control(), Payload.emptyLines(64_000_000), CROWD);
    }

    @Test
    void wholeBodies() throws Exception {
        assertServesBeside(control(), Payload.wholeBody(TARGET, MAX_BODY_BYTES), CROWD);
    }

    @Test
    void incompleteBodies() throws Exception {
        assertServesBeside(control(), Payload.incompleteBody(TARGET, MAX_BODY_BYTES, 1_400), CROWD);
    }

    @Test
    void bodiesOverTheLimit() throws Exception {
        assertServesBeside(control(), Payload.oversizedBody(TARGET, 1_000_000_000), CROWD);
    }

    @Test
    void largeChunks() throws Exception {
        assertServesBeside(control(), Payload.chunks(TARGET, 250_000, 4), CROWD);
    }

    @Test
    void chunksOfOneByte() throws Exception {
        assertServesBeside(control(), Payload.chunks(TARGET, 1, MAX_BODY_BYTES - 10_000), CROWD);
    }

    @Test
    void incompleteBodiesBehindWholeRequests() throws Exception {
        assertServesBeside(control(), Payload.incompleteBehindWhole(TARGET, MAX_BODY_BYTES), CROWD);
    }

    @Test
    void unreadSmallAnswers() throws Exception {
        assertServesBesideUnread(control(), Payload.pipelined(TARGET, 1, UNREAD_ANSWERS), CROWD);
    }

    @Test
    void unreadConfigurations() throws Exception {
        assertServesBesideUnread(control(), Payload.pipelinedReads(TARGET, UNREAD_ANSWERS), CROWD);
    }

    @Test
    void silentConnections() throws Exception {
        assertServesBeside(control(), Payload.silence(), MACHINE_DESCRIPTORS + 200);
    }
}
