package myrtleladder.dataplane;

import myrtleladder.configuration.Route;
import myrtleladder.configuration.Service;
import myrtleladder.configuration.Tenant;

/**
 * Whether a request is taken: by the time to its first event that is expected where it would go.
 */
final class AdmissionController {
    private static final long LEAST_PATIENCE = 2_000;
    private static final long TARGETS = 4;
    private static final long GAPS = 8;
    private static final double USED = 0.75;
    private static final double USED_LESS_BY_RANK = 0.12;
    private static final int LAST_RANK = 3;
    private static final long SHORT_PAUSE = 200;
    private static final long LONGEST_PAUSE = 1_500;

    /** 0 if the request is taken, else milliseconds after which a new try makes sense. */
    long retryAfterMs(
            Route route, Service service, UpstreamPicker.Pick pick, long timeLeft, Tenant tenant) {
        double expected = pick.expectedMs();
        double patience = timeLeft;
        if (service.engine() != null) {
            long longest =
                    Math.max(
                            LEAST_PATIENCE,
                            Math.max(TARGETS * route.targetLatencyMs(), GAPS * route.gapAimMs()));
            patience = Math.min(timeLeft, longest);
        }
        int rank = Math.min(LAST_RANK, route.priority());
        double most = patience * (USED - USED_LESS_BY_RANK * rank);
        if (expected <= most) {
            return 0;
        }
        return Math.max(SHORT_PAUSE, Math.min(LONGEST_PAUSE, Math.round(expected - most)));
    }

    /** The pause told to a client whose request was taken but could not be sent. */
    long defaultRetryAfterMs() {
        return SHORT_PAUSE;
    }
}
