package myrtleladder.exhaustion;

import static myrtleladder.exhaustion.ExhaustionFleet.LARGE_ANSWER_TARGET;
import static myrtleladder.exhaustion.ExhaustionFleet.MACHINE_DESCRIPTORS;
import static myrtleladder.exhaustion.ExhaustionFleet.MAX_BODY_BYTES;
import static myrtleladder.exhaustion.ExhaustionFleet.ORDINARY_TARGET;
import static myrtleladder.exhaustion.ExhaustionFleet.SLOW_TARGET;
import static myrtleladder.exhaustion.ExhaustionFleet.frontend;

import org.junit.jupiter.api.Test;

/** Misbehaving clients at the frontend of a balancer. */
class FrontendExhaustionTest extends ExhaustionTestCase {
    private static final int CROWD = 60;

    /** More than any socket buffer takes. */
    private static final int UNREAD_ANSWERS = 1_000_000;

    /** Path of no route: the balancer answers such requests itself. */
    private static final String UNKNOWN_TARGET = "/none";

    @Test
    void incompleteHeads() throws Exception {
        assertServesBeside(frontend(), Payload.incompleteHead(60_000), 400);
    }

    @Test
    void incompleteRequestLines() throws Exception {
        assertServesBeside(frontend(), Payload.incompleteRequestLine(60_000), 400);
    }

    @Test
    void emptyLines() throws Exception {
        assertServesBeside(frontend(), Payload.emptyLines(64_000_000), CROWD);
    }

    @Test
    void wholeBodies() throws Exception {
        assertServesBeside(frontend(), Payload.wholeBody(SLOW_TARGET, MAX_BODY_BYTES), CROWD);
    }

    @Test
    void incompleteBodiesInLargePieces() throws Exception {
        assertServesBeside(
                frontend(), Payload.incompleteBody(ORDINARY_TARGET, MAX_BODY_BYTES, 64_000), CROWD);
    }

    @Test
    void incompleteBodiesInSmallPieces() throws Exception {
        assertServesBeside(
                frontend(), Payload.incompleteBody(ORDINARY_TARGET, MAX_BODY_BYTES, 1_400), CROWD);
    }

    @Test
    void bodiesOverTheLimit() throws Exception {
        assertServesBeside(
                frontend(), Payload.oversizedBody(ORDINARY_TARGET, 1_000_000_000), CROWD);
    }

    @Test
    void largeChunks() throws Exception {
        assertServesBeside(frontend(), Payload.chunks(ORDINARY_TARGET, 250_000, 4), CROWD);
    }

    @Test
    void chunksOfOneByte() throws Exception {
        assertServesBeside(
                frontend(), Payload.chunks(ORDINARY_TARGET, 1, MAX_BODY_BYTES - 10_000), CROWD);
    }

    @Test
    void endlessChunkExtensions() throws Exception {
        assertServesBeside(frontend(), Payload.chunkExtension(ORDINARY_TARGET, 64_000_000), CROWD);
    }

    @Test
    void endlessTrailers() throws Exception {
        assertServesBeside(frontend(), Payload.trailers(ORDINARY_TARGET, 64_000_000), CROWD);
    }

    @Test
    void pipelinedBodies() throws Exception {
        assertServesBeside(frontend(), Payload.pipelined(SLOW_TARGET, 250_000, 16), CROWD);
    }

    @Test
    void incompleteBodiesBehindWholeRequests() throws Exception {
        assertServesBeside(
                frontend(), Payload.incompleteBehindWhole(SLOW_TARGET, MAX_BODY_BYTES), CROWD);
    }

    @Test
    void unreadAnswers() throws Exception {
        assertServesBesideUnread(frontend(), Payload.pipelined(LARGE_ANSWER_TARGET, 1, 12), CROWD);
    }

    @Test
    void unreadSmallAnswers() throws Exception {
        assertServesBesideUnread(
                frontend(), Payload.pipelined(UNKNOWN_TARGET, 1, UNREAD_ANSWERS), CROWD);
    }

    @Test
    void silentConnections() throws Exception {
        assertServesBeside(frontend(), Payload.silence(), MACHINE_DESCRIPTORS + 200);
    }
}
