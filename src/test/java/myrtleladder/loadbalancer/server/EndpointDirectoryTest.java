package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.api.Test;

/** Tests how maintenance overrides the state and the start time of endpoints from discovery. */
class EndpointDirectoryTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);

    private final MonotonicClock clock = new MonotonicClock();
    private final EndpointDirectory directory = new EndpointDirectory();

    private static EndpointList.Endpoint endpoint(String id, State state) {
        return new EndpointList.Endpoint(id, ADDRESS, "z", "k", 0, state, 1, 0);
    }

    private static EndpointList full(EndpointList.Endpoint... endpoints) {
        return new EndpointList(1, true, List.of(endpoints));
    }

    @Test
    void listIsPassedOnAsItIsWithoutMaintenance() {
        EndpointList list = full(endpoint("a", State.READY));
        assertSame(list, directory.update(list));
    }

    @Test
    void onlyEndpointsWhoseMaintenanceChangesAreReturnedInTheOrderOfTheirIds() {
        directory.update(
                full(
                        endpoint("b", State.READY),
                        endpoint("a", State.READY),
                        endpoint("c", State.READY)));
        EndpointList begun = directory.setDraining(Set.of("b", "a", "unknown"), Set.of(), clock);
        assertEquals(
                List.of(endpoint("a", State.DRAINING), endpoint("b", State.DRAINING)),
                begun.endpoints());
        EndpointList moved = directory.setDraining(Set.of("b", "c"), Set.of(), clock);
        assertEquals(
                List.of(endpoint("a", State.READY), endpoint("c", State.DRAINING)),
                moved.endpoints());
        assertEquals(
                List.of(), directory.setDraining(Set.of("b", "c"), Set.of(), clock).endpoints());
    }

    @Test
    void endpointThatDrainsInMaintenanceStaysSoInALaterList() {
        directory.update(full(endpoint("a", State.READY)));
        directory.setDraining(Set.of("a"), Set.of(), clock);
        EndpointList later = directory.update(full(endpoint("a", State.READY)));
        assertEquals(State.DRAINING, later.endpoints().get(0).state());
        assertTrue(directory.listed().get(0).isReady(), "as discovery listed it");
    }

    @Test
    void restartedEndpointHasALaterStartUntilItIsGone() {
        directory.update(full(endpoint("a", State.READY)));
        directory.setDraining(Set.of("a"), Set.of(), clock);
        long beforeMs = clock.nowUs() / 1_000;
        EndpointList back = directory.setDraining(Set.of(), Set.of("a"), clock);
        assertTrue(back.endpoints().get(0).startedMs() >= beforeMs);
        directory.update(new EndpointList(2, false, List.of(endpoint("a", State.GONE))));
        EndpointList listedAgain = full(endpoint("a", State.READY));
        assertSame(listedAgain, directory.update(listedAgain));
    }
}
