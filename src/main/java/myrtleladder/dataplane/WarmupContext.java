package myrtleladder.dataplane;

import java.util.List;
import myrtleladder.configuration.Service;
import myrtleladder.protocol.BalancerAddress;

/**
 * What the warm-ups of all upstreams share: the settings, the list of balancers and the contact
 * with the control plane. Confined to the event loop.
 */
final class WarmupContext {
    private final WarmupSettings settings;
    private final WarmupOwnership ownership;
    private final PrimaryContactTracker contact = new PrimaryContactTracker();
    private final WarmupCounters counters = new WarmupCounters();

    WarmupContext(WarmupSettings settings) {
        this.settings = settings;
        this.ownership = new WarmupOwnership(settings.balancer());
    }

    /** The primary of an epoch answered a poll. */
    void pollAnswered(long epoch, long nowMs) {
        contact.recordPollResponse(epoch, nowMs);
    }

    /** Replaces the list of balancers. */
    void setBalancers(List<BalancerAddress> balancers, long nowMs) {
        ownership.setBalancers(balancers.stream().map(listed -> listed.name).toList(), nowMs);
    }

    WarmupCounters counters() {
        return counters;
    }

    WarmupOwnership ownership() {
        return ownership;
    }

    /** See {@link WarmupSettings#allowance}. */
    int allowance(Service service) {
        return settings.allowance(service);
    }

    /** Whether the primary would have reported by now that an upstream was down at a time. */
    boolean wasReportedSince(long failedAtMs, long nowMs) {
        return contact.wasContinuousFor(settings.confirmationMs(), failedAtMs, nowMs);
    }
}
