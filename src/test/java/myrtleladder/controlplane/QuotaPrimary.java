package myrtleladder.controlplane;

import myrtleladder.configuration.Configuration;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;

/** The quota state of a primary and the balancers that poll it, for tests of other packages. */
public final class QuotaPrimary {
    private static final long NEW_PRIMARY_MS = 3_600;

    private final BalancerRegistry balancers = new BalancerRegistry();
    private final QuotaAllocator quotas;
    private final long epoch;
    private final long primarySinceMs;

    /** Creates a primary that has just been elected. */
    public QuotaPrimary(long epoch, double overageRatio, double slackUnits, long nowMs) {
        this.epoch = epoch;
        quotas = new QuotaAllocator(overageRatio, slackUnits);
        primarySinceMs = nowMs;
    }

    /** Applies a committed configuration. */
    public void configure(Configuration configuration, boolean isFirst, long nowMs) {
        quotas.configure(configuration, isFirst, nowMs);
    }

    /** Records a poll and returns the number of balancers that the response reports. */
    public int poll(String balancer, int reportedCount, long nowMs) {
        PollRequest poll = new PollRequest();
        poll.balancer = balancer;
        poll.address = balancer;
        poll.balancerCount = reportedCount;
        balancers.recordPoll(poll, nowMs);
        return balancers.count(isNew(nowMs));
    }

    /** The epoch in which this primary was elected. */
    public long epoch() {
        return epoch;
    }

    /** Returns whether all balancers have had time to poll. */
    public boolean isCountComplete(long nowMs) {
        return !isNew(nowMs);
    }

    /** Grants units or responds with a wait. */
    public QuotaResponse grant(QuotaRequest request, long nowMs) {
        quotas.consumeReported(request, epoch);
        QuotaResponse response = quotas.grant(request, nowMs);
        response.epoch = epoch;
        return response;
    }

    /** Runs the periodic task of the control plane. */
    public void tick(long nowMs) {
        balancers.expire(nowMs);
        quotas.setBalancerCount(balancers.count(isNew(nowMs)));
        boolean isNew = isNew(nowMs);
        quotas.setReservedShare(balancers.reservedShare(isNew, nowMs), isNew, nowMs);
    }

    private boolean isNew(long nowMs) {
        return nowMs - primarySinceMs <= NEW_PRIMARY_MS;
    }
}
