package myrtleladder.cluster;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Judges upstreams by the outcomes of this process's own attempts: which of them fail now, and
 * whether one that has returned from maintenance does worse than the others. Times are in
 * microseconds. Confined to the event loop.
 */
final class UpstreamTrials {
    /** An upstream that has not served so many attempts in a row is failing. */
    private static final int FAILING_AFTER_ATTEMPTS = 5;

    /** After so many attempts a trial is complete. */
    private static final int TRIAL_ATTEMPTS = 20;

    /** After so long a trial is complete, whatever the number of attempts. */
    private static final long TRIAL_DURATION_US = 10_000_000;

    /** With fewer attempts nothing is concluded. */
    private static final int MIN_ATTEMPTS = 5;

    /** An upstream that fails more than this share of its attempts is worse. */
    private static final double MAX_FAILED_SHARE = 0.5;

    /**
     * An upstream that takes so many times as long as the others is worse. One that warms up takes
     * up to a few times as long.
     */
    private static final double MAX_LATENCY_RATIO = 8;

    /** Weight of a new attempt in the mean latency of the others. */
    private static final double SMOOTHING_FACTOR = 0.02;

    private static final double MICROS_PER_MILLI = 1e3;

    private final Map<String, Integer> consecutiveFailures = new HashMap<>();
    private final Map<String, Trial> trials = new HashMap<>();

    /** Exponentially smoothed latency of upstreams that are not on trial, 0 if there is none. */
    private double usualLatencyUs;

    private static final class Trial {
        final long startedUs;
        int served;
        int failed;
        long servedLatencySumUs;

        Trial(long startedUs) {
            this.startedUs = startedUs;
        }

        int attempts() {
            return served + failed;
        }

        double meanLatencyUs() {
            return (double) servedLatencySumUs / served;
        }
    }

    void onAttemptEnded(String upstream, boolean wasServed, long latencyUs) {
        if (wasServed) {
            consecutiveFailures.remove(upstream);
        } else {
            consecutiveFailures.merge(upstream, 1, Integer::sum);
        }
        Trial trial = trials.get(upstream);
        if (trial == null) {
            if (wasServed) {
                addUsualLatency(latencyUs);
            }
        } else if (wasServed) {
            trial.served++;
            trial.servedLatencySumUs += latencyUs;
        } else {
            trial.failed++;
        }
    }

    private void addUsualLatency(long latencyUs) {
        double weight = usualLatencyUs == 0 ? 1 : SMOOTHING_FACTOR;
        usualLatencyUs += weight * (latencyUs - usualLatencyUs);
    }

    /** An upstream has returned and is on trial from now on. */
    void start(long nowUs, String upstream) {
        trials.put(upstream, new Trial(nowUs));
    }

    /** Forgets how an upstream did. */
    void forget(String upstream) {
        trials.remove(upstream);
        consecutiveFailures.remove(upstream);
    }

    Set<String> onTrial() {
        return trials.keySet();
    }

    /** Upstreams that discovery does not report as ready, or that fail all attempts. */
    Set<String> failing(Collection<LoadBalancerControl.Upstream> upstreams) {
        Set<String> failing = new HashSet<>();
        for (LoadBalancerControl.Upstream upstream : upstreams) {
            if (!upstream.isReady()) {
                failing.add(upstream.id());
            }
        }
        consecutiveFailures.forEach(
                (upstream, failures) -> {
                    if (failures >= FAILING_AFTER_ATTEMPTS) {
                        failing.add(upstream);
                    }
                });
        return failing;
    }

    boolean isComplete(long nowUs, String upstream) {
        Trial trial = trials.get(upstream);
        return trial != null
                && (trial.attempts() >= TRIAL_ATTEMPTS
                        || nowUs - trial.startedUs >= TRIAL_DURATION_US);
    }

    /** Why an upstream on trial does worse than the others; null if it does not. */
    String regression(String upstream) {
        Trial trial = trials.get(upstream);
        int attempts = trial.attempts();
        if (attempts >= MIN_ATTEMPTS && trial.failed > MAX_FAILED_SHARE * attempts) {
            return trial.failed + " of " + attempts + " attempts failed";
        }
        if (trial.served < MIN_ATTEMPTS || usualLatencyUs <= 0) {
            return null;
        }
        double meanLatencyUs = trial.meanLatencyUs();
        if (meanLatencyUs <= MAX_LATENCY_RATIO * usualLatencyUs) {
            return null;
        }
        return String.format(
                Locale.ROOT,
                "answers take %.1f ms, those of its fellows %.1f",
                meanLatencyUs / MICROS_PER_MILLI,
                usualLatencyUs / MICROS_PER_MILLI);
    }
}
