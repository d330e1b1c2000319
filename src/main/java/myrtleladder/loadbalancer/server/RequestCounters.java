package myrtleladder.loadbalancer.server;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import myrtleladder.loadbalancer.policy.Outcome;

/**
 * Counters of requests, answers and attempts since the start of a balancer: plain numbers, confined
 * to the event loop.
 */
final class RequestCounters {
    private static final Outcome[] OUTCOMES = Outcome.values();

    /** Requests received. */
    long requests;

    /** Requests answered by an upstream. */
    long served;

    /** Requests rejected: they have not run. */
    long rejected;

    /** Requests failed: they may have run. */
    long failed;

    /** Requests whose client left before the response. */
    long abandoned;

    private final long[] attemptsByOutcome = new long[OUTCOMES.length];

    /** Counts an attempt that has ended. */
    void attemptEnded(Outcome outcome) {
        attemptsByOutcome[outcome.ordinal()]++;
    }

    /** Answers by the names that the metrics have for them. */
    Map<String, Long> answers() {
        return Map.of("served", served, "refused", rejected, "failed", failed, "left", abandoned);
    }

    /** Attempts by the names that the metrics have for their outcomes. */
    Map<String, Long> attempts() {
        Map<String, Long> byOutcome = new LinkedHashMap<>();
        for (Outcome outcome : OUTCOMES) {
            String name = outcome.name().toLowerCase(Locale.ROOT);
            byOutcome.put(name, attemptsByOutcome[outcome.ordinal()]);
        }
        return byOutcome;
    }
}
