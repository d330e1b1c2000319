package myrtleladder.dataplane;

import java.util.function.LongConsumer;
import myrtleladder.protocol.QuotaRequest;

/**
 * The acquisition of a request's units from the primary. While it lasts, it holds the units that
 * were granted earlier, so that no other request counts on them. Confined to the event loop.
 */
final class QuotaAcquisition {
    private final TenantQuotaState state;
    private final double costUnits;
    private final long requestedAtMs;
    private final LongConsumer callback;
    private final double heldUnits;
    private final UnreportedUsage.Report report;
    private FallbackBucket.Outcome fallbackOutcome;

    /**
     * Creates an acquisition and takes the tenant's granted units and its unreported usage.
     *
     * @param callback receives 0 if the units were acquired, otherwise the wait in milliseconds
     */
    QuotaAcquisition(
            TenantQuotaState state, double costUnits, long requestedAtMs, LongConsumer callback) {
        this.state = state;
        this.costUnits = costUnits;
        this.requestedAtMs = requestedAtMs;
        this.callback = callback;
        this.heldUnits = state.grantedUnits;
        this.report = state.unreported.take();
        state.grantedUnits = 0;
    }

    /** The message to the primary. */
    QuotaRequest createRequest() {
        QuotaRequest request = QuotaRequest.of(state.tenant.name(), costUnits - heldUnits);
        if (report.units() > 0) {
            request.fallbackUnits = report.units();
            request.fallbackEpoch = report.epoch();
        }
        return request;
    }

    TenantQuotaState state() {
        return state;
    }

    double costUnits() {
        return costUnits;
    }

    long requestedAtMs() {
        return requestedAtMs;
    }

    /** How it was decided without the primary; null if it was not. */
    FallbackBucket.Outcome fallbackOutcome() {
        return fallbackOutcome;
    }

    /** Puts the reported usage back, since the primary may not have received it. */
    void restoreReport() {
        state.unreported.restore(report);
    }

    /** Gives the held units back; called when it is decided. */
    void releaseHeldUnits() {
        state.grantedUnits += heldUnits;
    }

    /** Decides it without the primary. */
    void decide(FallbackBucket.Outcome outcome, long retryAfterMs) {
        fallbackOutcome = outcome;
        callback.accept(outcome.isAdmitted() ? 0 : retryAfterMs);
    }

    /** Decides it as the primary responded; 0 if the units were acquired. */
    void decide(long waitMs) {
        callback.accept(waitMs);
    }
}
