package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import myrtleladder.protocol.LeaveRequest;
import myrtleladder.protocol.LeaveResponse;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.View;
import org.junit.jupiter.api.Test;

/** A node counts as released only if a primary that is still in office has released it. */
class LeaveRequesterTest {
    private static final long LEAVE_TIMEOUT_MS = 3_000;

    private final ManualScheduler clock = new ManualScheduler();
    private final Member self = Member.of("self:1", "self:2", "self");
    private final Member other = Member.of("other:1", "other:2", "other");
    private final Member third = Member.of("third:1", "third:2", "third");
    private final List<Boolean> outcomes = new ArrayList<>();

    private View view(long epoch, Member... group) {
        return View.of(epoch, other, List.of(other), List.of(group), List.of(group));
    }

    /**
     * Starts a member of a view with this epoch and lets it leave. The given function supplies the
     * responses to its leave requests.
     */
    private void leave(long epoch, Function<LeaveRequest, Message> responder) {
        StoredState stored = new StoredState();
        stored.storeId = self.storeId;
        stored.promisedEpoch = epoch;
        stored.acceptedView = view(epoch, self, other, third);
        Replica replica =
                new Replica(
                        new ReplicaOptions(self, 1, false, List.of(other), 4_000),
                        stored,
                        "unused",
                        clock,
                        (state, done) -> done.accept(true),
                        (to, message, timeoutMs, response) ->
                                response.accept(
                                        message instanceof LeaveRequest request
                                                ? responder.apply(request)
                                                : null),
                        new NoOpListener(),
                        List::of);
        replica.start();
        replica.leave(LEAVE_TIMEOUT_MS, outcomes::add);
    }

    @Test
    void releaseUnderALaterViewCompletesTheLeave() {
        leave(5, request -> LeaveResponse.of(true, view(6, other, third)));
        clock.run(500);
        assertEquals(List.of(true), outcomes);
    }

    @Test
    void releaseUnderAnOlderViewThanTheKnownOneIsIgnored() {
        leave(5, request -> LeaveResponse.of(true, view(4, other, third)));
        clock.run(LEAVE_TIMEOUT_MS - 500);
        assertEquals(List.of(), outcomes, "a deposed primary cannot release a node");
        clock.run(1_000);
        assertEquals(List.of(false), outcomes);
    }

    @Test
    void isolatedPrimaryReleasesNoNode() {
        VirtualCluster cluster = VirtualCluster.builder().start();
        cluster.clock.run(3_000);
        VirtualNode primary = cluster.primary();
        cluster.isolate(primary.address);
        List<Boolean> released = new ArrayList<>();
        primary.replica.receive(
                LeaveRequest.of(third),
                response -> released.add(((LeaveResponse) response).released));
        cluster.clock.run(2_000);
        assertEquals(List.of(false), released, "another node may be primary by now");
    }

    @Test
    void primaryWithAMajorityReleasesANodeThatIsNotAMember() {
        VirtualCluster cluster = VirtualCluster.builder().start();
        cluster.clock.run(3_000);
        VirtualNode primary = cluster.primary();
        List<Boolean> released = new ArrayList<>();
        primary.replica.receive(
                LeaveRequest.of(third),
                response -> released.add(((LeaveResponse) response).released));
        cluster.clock.run(300);
        assertEquals(List.of(true), released);
        assertFalse(primary.replica.view().group.contains(third));
        assertTrue(primary.isPrimary());
    }
}
