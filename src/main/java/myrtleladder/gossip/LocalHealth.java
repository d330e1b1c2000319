package myrtleladder.gossip;

/**
 * Local health of this process, from 0 (healthy) to {@link #MAX_SCORE} (Lifeguard, section IV-A).
 *
 * <p>A process that gets no answers, or whose timers are late, is more likely at fault itself than
 * all others together: it probes more slowly and waits longer.
 */
final class LocalHealth {
    /** Lifeguard's saturation limit S of the local health multiplier (section IV-A). */
    private static final int MAX_SCORE = 8;

    private int score;

    void degrade(int by) {
        score = Math.min(MAX_SCORE, score + by);
    }

    void improve() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    /** A delay or timeout in microseconds, scaled by the health. */
    long scaleUs(long timeUs) {
        return timeUs * (score + 1);
    }
}
