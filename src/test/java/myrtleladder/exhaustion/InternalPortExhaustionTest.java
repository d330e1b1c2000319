package myrtleladder.exhaustion;

import static myrtleladder.exhaustion.ExhaustionFleet.MACHINE_DESCRIPTORS;
import static myrtleladder.exhaustion.ExhaustionFleet.MAX_BODY_BYTES;
import static myrtleladder.exhaustion.ExhaustionFleet.balancerInternal;
import static myrtleladder.exhaustion.ExhaustionFleet.controlInternal;
import static myrtleladder.exhaustion.ExhaustionFleet.readiness;

import org.junit.jupiter.api.Test;

/** Misbehaving callers at the ports for other processes of the fleet and for readiness checks. */
class InternalPortExhaustionTest extends ExhaustionTestCase {
    private static final int CROWD = 60;
    private static final String TARGET = "/message";

    @Test
    void incompleteBodiesAtABalancer() throws Exception {
        assertServesBeside(
                balancerInternal(), Payload.incompleteBody(TARGET, MAX_BODY_BYTES, 64_000), CROWD);
    }

    @Test
    void incompleteHeadsAtABalancer() throws Exception {
        assertServesBeside(balancerInternal(), Payload.incompleteHead(60_000), 400);
    }

    @Test
    void incompleteBodiesAtAControlNode() throws Exception {
        assertServesBeside(
                controlInternal(), Payload.incompleteBody(TARGET, MAX_BODY_BYTES, 64_000), CROWD);
    }

    @Test
    void wholeBodiesAtAControlNode() throws Exception {
        assertServesBeside(controlInternal(), Payload.wholeBody(TARGET, MAX_BODY_BYTES), CROWD);
    }

    @Test
    void silentConnectionsAtAControlNode() throws Exception {
        assertServesBeside(controlInternal(), Payload.silence(), MACHINE_DESCRIPTORS + 200);
    }

    @Test
    void incompleteBodiesAtTheReadinessPort() throws Exception {
        assertServesBeside(
                readiness(), Payload.incompleteBody("/readyz", MAX_BODY_BYTES, 64_000), CROWD);
    }

    @Test
    void emptyLinesAtTheReadinessPort() throws Exception {
        assertServesBeside(readiness(), Payload.emptyLines(64_000_000), CROWD);
    }

    @Test
    void silentConnectionsAtTheReadinessPort() throws Exception {
        assertServesBeside(readiness(), Payload.silence(), MACHINE_DESCRIPTORS + 200);
    }
}
