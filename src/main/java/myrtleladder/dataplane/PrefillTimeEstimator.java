package myrtleladder.dataplane;

/**
 * How long model upstreams take to the first event, learnt from answers that began where no other
 * prompt was being read: a time for each token of the prompt, and one that each answer takes. Steps
 * lead to the medians, since what others had under way spoils single samples.
 */
final class PrefillTimeEstimator {
    private static final double FIRST_MS_PER_TOKEN = 0.016;
    private static final double LEAST_MS_PER_TOKEN = 0.002;
    private static final double MOST_MS_PER_TOKEN = 0.2;
    private static final double FIRST_BASE_MS = 8;
    private static final double LEAST_BASE_MS = 1;
    private static final double MOST_BASE_MS = 500;
    private static final int LONG_PROMPT =
            1_500; // tells the time for a token, a shorter one the base
    private static final double LAST_STEP = 0.03;
    private static final double FIRST_STEP = 0.3;

    private double msPerToken = FIRST_MS_PER_TOKEN;
    private double baseMs = FIRST_BASE_MS;
    private int longSamples;
    private int shortSamples;

    double msPerToken() {
        return msPerToken;
    }

    double baseMs() {
        return baseMs;
    }

    /** Takes the time from sending a prompt to the first event. */
    void learn(int tokens, double tookMs) {
        if (tokens >= LONG_PROMPT) {
            double sample = Math.max(0, tookMs - baseMs) / tokens;
            double next = stepped(msPerToken, sample, longSamples++);
            msPerToken = Math.max(LEAST_MS_PER_TOKEN, Math.min(MOST_MS_PER_TOKEN, next));
        } else {
            double sample = tookMs - tokens * msPerToken;
            double next = shortSamples == 0 ? sample : stepped(baseMs, sample, shortSamples);
            shortSamples++;
            baseMs = Math.max(LEAST_BASE_MS, Math.min(MOST_BASE_MS, next));
        }
    }

    private static double stepped(double value, double sample, int samples) {
        double step = Math.max(LAST_STEP, FIRST_STEP / (samples + 1));
        return value * (sample > value ? 1 + step : 1 - step);
    }
}
