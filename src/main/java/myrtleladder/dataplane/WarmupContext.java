package myrtleladder.dataplane;

import java.util.List;
import myrtleladder.configuration.Service;
import myrtleladder.protocol.BalancerAddress;

/**
 * State shared by the {@link UpstreamWarmup}s of all upstreams: settings, the list of balancers,
 * counters and the contact with the control plane. Confined to the event loop.
 */
final class WarmupContext {
    private final WarmupSettings settings;
    private final WarmupOwnership ownership;
    private final ControlContact contact = new ControlContact();
    private final WarmupCounters counters = new WarmupCounters();

    WarmupContext(WarmupSettings settings) {
        this.settings = settings;
        this.ownership = new WarmupOwnership(settings.balancerName());
    }

    /** Records that the primary of this epoch answered a poll. */
    void recordPollResponse(long epoch, long nowMs) {
        contact.pollAnswered(epoch, nowMs);
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

    /** See {@link WarmupSettings#allowancePerSecond}. */
    int allowancePerSecond(Service service) {
        return settings.allowancePerSecond(service);
    }

    /** Whether the primary would have reported by now if an upstream had gone down at that time. */
    boolean hasConfirmationDelayPassed(long failedAtMs, long nowMs) {
        return contact.lasted(settings.confirmationDelayMs(), failedAtMs, nowMs);
    }
}
