package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import myrtleladder.protocol.Member;
import org.junit.jupiter.api.Test;

/** The join and leave requests that a primary has received. */
class MembershipRequestsTest {
    private static final long START_MS = 1_000;

    private final Member member = Member.of("a:1", "a:2", "a");
    private final MembershipRequests requests = new MembershipRequests();

    @Test
    void requestExpiresUnlessItIsRepeated() {
        long ttlMs = ReplicationTiming.MEMBERSHIP_REQUEST_TTL_MS;
        requests.recordJoin(member, START_MS);
        requests.expire(START_MS + ttlMs);
        assertEquals(Set.of(member), requests.joining());
        requests.recordJoin(member, START_MS + ttlMs);
        requests.expire(START_MS + ttlMs + 1);
        assertEquals(Set.of(member), requests.joining());
        requests.expire(START_MS + 2 * ttlMs + 1);
        assertEquals(Set.of(), requests.joining());
    }

    @Test
    void joinAfterARestartCancelsTheLeaveRequest() {
        requests.recordLeave(member, START_MS);
        requests.recordJoin(member, START_MS + 1);
        assertFalse(requests.isLeaving(member));
        assertEquals(Set.of(member), requests.joining());
    }

    @Test
    void leaveCancelsTheJoinRequest() {
        requests.recordJoin(member, START_MS);
        requests.recordLeave(member, START_MS + 1);
        assertTrue(requests.isLeaving(member));
        assertEquals(Set.of(), requests.joining());
    }

    @Test
    void withdrawnJoinRequestMayBeRepeated() {
        requests.recordJoin(member, START_MS);
        requests.removeJoin(member);
        assertEquals(Set.of(), requests.joining());
        requests.recordJoin(member, START_MS + 1);
        assertEquals(Set.of(member), requests.joining());
    }
}
