package myrtleladder.maintenance;

import java.util.List;
import java.util.Set;

/**
 * What a {@link MaintenanceCoordinator} needs from the process that runs it. All methods are called
 * on the thread that calls the coordinator.
 */
public interface MaintenanceEnvironment {
    /**
     * Sends a datagram, which may be delayed, lost, duplicated or reordered.
     *
     * @param recipient name of the member
     */
    void send(String recipient, byte[] datagram);

    /** Calls {@link MaintenanceCoordinator#onTimer} once after a delay by the steady clock. */
    void scheduleTimer(String timer, long delayUs);

    /** The wall clock in milliseconds since the Unix epoch; it may jump. */
    long wallClockMs();

    /** How many attempts of this process are in flight at an upstream. */
    int inFlightAttempts(String upstream);

    /** Replaces the upstreams that this process must not send to. */
    void setExcludedUpstreams(Set<String> upstreams);

    /** Upstreams that fail by themselves, as far as this process sees. */
    List<String> failingUpstreams();

    /** Whether enough was seen of an upstream that is back from maintenance to judge it. */
    boolean canJudge(String upstream);

    /** Why an upstream that is back does worse than the others; null if it does not. */
    String degradation(String upstream);

    /** Reports that a job is in another state. */
    void onJobStateChanged(MaintenanceJob job);

    /** Reports that execution passes a fault point; only tests act on it. */
    default void onFaultPoint(MaintenanceFaultPoint point) {}
}
