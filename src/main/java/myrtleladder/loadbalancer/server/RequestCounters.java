package myrtleladder.loadbalancer.server;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import myrtleladder.loadbalancer.policy.Balancer.Outcome;

/**
 * What a balancer has done since its start: plain numbers, written and read on its event loop
 * alone.
 */
final class RequestCounters {
    private static final Outcome[] OUTCOMES = Outcome.values();
    long requests;
    long served;
    long refused;
    long failed;
    long left;
    private final long[] attempts = new long[OUTCOMES.length];

    void attemptEnded(Outcome outcome) {
        attempts[outcome.ordinal()]++;
    }

    Map<String, Long> answers() {
        return Map.of("served", served, "refused", refused, "failed", failed, "left", left);
    }

    Map<String, Long> attempts() {
        Map<String, Long> byOutcome = new LinkedHashMap<>();
        for (Outcome outcome : OUTCOMES) {
            byOutcome.put(outcome.name().toLowerCase(Locale.ROOT), attempts[outcome.ordinal()]);
        }
        return byOutcome;
    }
}
