package myrtleladder.dataplane;

import java.util.List;
import myrtleladder.configuration.Service;
import myrtleladder.protocol.BalancerAddress;

/**
 * State shared by the {@link UpstreamWarmup}s of all upstreams: settings, the list of balancers,
 * counters and the times of the primary's poll responses. Confined to the event loop.
 */
final class WarmupContext {
    private final WarmupSettings settings;
    private final WarmupOwnership ownership;
    private final PrimaryContactTracker primaryContact = new PrimaryContactTracker();
    private final WarmupCounters counters = new WarmupCounters();

    WarmupContext(WarmupSettings settings) {
        this.settings = settings;
        this.ownership = new WarmupOwnership(settings.balancerName());
    }

    /** Records that the primary of an epoch responded to a poll. */
    void recordPollResponse(long epoch, long nowMs) {
        primaryContact.recordPollResponse(epoch, nowMs);
    }

    /** Replaces the list of balancers. */
    void setBalancers(List<BalancerAddress> balancers, long nowMs) {
        ownership.setBalancers(balancers.stream().map(balancer -> balancer.name).toList(), nowMs);
    }

    WarmupCounters counters() {
        return counters;
    }

    WarmupOwnership ownership() {
        return ownership;
    }

    /** See {@link WarmupSettings#allowancePerSecond}. */
    int allowancePerSecond(Service service) {
        return settings.allowancePerSecond(service);
    }

    /**
     * Whether the primary has responded to polls for long enough since {@code failedAtMs} that it
     * would have reported an upstream that went down then.
     */
    boolean hasConfirmationDelayPassed(long failedAtMs, long nowMs) {
        return primaryContact.wasContinuousFor(settings.confirmationDelayMs(), failedAtMs, nowMs);
    }
}
