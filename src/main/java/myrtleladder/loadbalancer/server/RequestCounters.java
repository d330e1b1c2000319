package myrtleladder.loadbalancer.server;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import myrtleladder.loadbalancer.policy.Outcome;

/**
 * Counters of requests, responses and attempts since the start of a balancer. Confined to the event
 * loop.
 */
final class RequestCounters {
    private static final Outcome[] OUTCOMES = Outcome.values();

    /** Requests received. */
    long requests;

    /** Requests answered by an upstream. */
    long served;

    /** Requests rejected, which were not processed by an upstream. */
    long rejected;

    /** Requests failed, which may have been processed by an upstream. */
    long failed;

    /** Requests whose client disconnected before the response. */
    long abandoned;

    private final long[] attemptsByOutcome = new long[OUTCOMES.length];

    /** Counts an attempt that has ended. */
    void attemptEnded(Outcome outcome) {
        attemptsByOutcome[outcome.ordinal()]++;
    }

    /** Returns the numbers of requests by result, under the names used in the metrics. */
    Map<String, Long> answers() {
        return Map.of("served", served, "refused", rejected, "failed", failed, "left", abandoned);
    }

    /** Returns the numbers of attempts by outcome, under the names used in the metrics. */
    Map<String, Long> attempts() {
        Map<String, Long> byOutcome = new LinkedHashMap<>();
        for (Outcome outcome : OUTCOMES) {
            String name = outcome.name().toLowerCase(Locale.ROOT);
            byOutcome.put(name, attemptsByOutcome[outcome.ordinal()]);
        }
        return byOutcome;
    }
}
