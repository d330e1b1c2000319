package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import myrtleladder.protocol.PollRequest;
import org.junit.jupiter.api.Test;

/** The share of quotas that is reserved for balancers out of contact. */
class BalancerRegistryTest {
    private static final double INITIAL = 0.85;
    private static final double REDUCED = 0.25;

    private final BalancerRegistry balancers = new BalancerRegistry();

    private static PollRequest poll(String balancer, int reportedCount) {
        PollRequest poll = new PollRequest();
        poll.balancer = balancer;
        poll.address = balancer;
        poll.balancerCount = reportedCount;
        return poll;
    }

    @Test
    void shareOfABalancerThatOnlyOthersHearOfIsReserved() {
        balancers.recordPoll(poll("a", 2), 0);
        balancers.recordPoll(poll("b", 2), 0);
        PollRequest poll = poll("a", 2);
        poll.liveBalancers = List.of("b");
        balancers.recordPoll(poll, 2_000);
        balancers.expire(2_000);
        assertEquals(INITIAL / 2, balancers.reservedShare(false, 2_000), 1e-9);
    }

    @Test
    void lessIsReservedForALostBalancerAndNothingAfterItReturnsOrLeaves() {
        balancers.recordPoll(poll("a", 2), 0);
        balancers.recordPoll(poll("b", 2), 0);
        balancers.recordPoll(poll("a", 2), 10_000);
        balancers.expire(10_000);
        assertEquals(1, balancers.count(false));
        assertEquals(REDUCED / 2, balancers.reservedShare(false, 10_000), 1e-9);
        PollRequest leaving = poll("b", 2);
        leaving.leaving = true;
        balancers.recordPoll(leaving, 10_000);
        assertEquals(0, balancers.reservedShare(false, 10_000), 1e-9);
    }

    @Test
    void newPrimaryReservesSharesOfBalancersThatHaveNotPolledItYet() {
        balancers.recordPoll(poll("a", 4), 0);
        assertEquals(0.75 * INITIAL, balancers.reservedShare(true, 0), 1e-9);
        assertEquals(0, balancers.reservedShare(false, 0), 1e-9);
    }
}
