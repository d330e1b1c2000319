package myrtleladder.dataplane;

/**
 * Estimates the time to the first event at model upstreams as a base time plus a prefill time for
 * each prompt token. Samples are responses of upstreams without a known backlog. Each sample moves
 * an estimate by a bounded ratio, so that it converges to the median: requests of other balancers
 * that are not known here distort single samples. Confined to the event loop.
 */
final class PrefillTimeEstimator {
    /** Time for a token before the first sample. */
    private static final double INITIAL_MS_PER_TOKEN = 0.016;

    /** Lower bound of the time for a token. */
    private static final double MIN_MS_PER_TOKEN = 0.002;

    /** Upper bound of the time for a token. */
    private static final double MAX_MS_PER_TOKEN = 0.2;

    /** Base time before the first sample. */
    private static final double INITIAL_BASE_MS = 8;

    /** Lower bound of the base time. */
    private static final double MIN_BASE_MS = 1;

    /** Upper bound of the base time. */
    private static final double MAX_BASE_MS = 500;

    /** Prompts of at least this length update the time for a token, shorter ones the base time. */
    private static final int LONG_PROMPT_TOKENS = 1_500;

    /** Lower bound of the ratio by which a sample changes an estimate. */
    private static final double MIN_STEP_RATIO = 0.03;

    /** Ratio of the change by the first sample; later ones divide it by the number of samples. */
    private static final double INITIAL_STEP_RATIO = 0.3;

    private double msPerToken = INITIAL_MS_PER_TOKEN;
    private double baseMs = INITIAL_BASE_MS;
    private int longPromptSamples;
    private int shortPromptSamples;

    /** Prefill time of one prompt token, in milliseconds. */
    double msPerToken() {
        return msPerToken;
    }

    /** Time to the first event without prefill, in milliseconds. */
    double baseMs() {
        return baseMs;
    }

    /**
     * Updates the estimates.
     *
     * @param promptTokens tokens that the upstream had to process
     * @param timeToFirstEventMs time from sending the prompt to the first event
     */
    void addSample(int promptTokens, double timeToFirstEventMs) {
        if (promptTokens >= LONG_PROMPT_TOKENS) {
            addLongPromptSample(promptTokens, timeToFirstEventMs);
        } else {
            addShortPromptSample(promptTokens, timeToFirstEventMs);
        }
    }

    private void addLongPromptSample(int promptTokens, double timeToFirstEventMs) {
        double sample = Math.max(0, timeToFirstEventMs - baseMs) / promptTokens;
        double updated = moveTowards(sample, msPerToken, longPromptSamples);
        longPromptSamples++;
        msPerToken = Math.max(MIN_MS_PER_TOKEN, Math.min(MAX_MS_PER_TOKEN, updated));
    }

    private void addShortPromptSample(int promptTokens, double timeToFirstEventMs) {
        double sample = timeToFirstEventMs - promptTokens * msPerToken;
        double updated =
                shortPromptSamples == 0 ? sample : moveTowards(sample, baseMs, shortPromptSamples);
        shortPromptSamples++;
        baseMs = Math.max(MIN_BASE_MS, Math.min(MAX_BASE_MS, updated));
    }

    private static double moveTowards(double sample, double value, int samples) {
        double stepRatio = Math.max(MIN_STEP_RATIO, INITIAL_STEP_RATIO / (samples + 1));
        return value * (sample > value ? 1 + stepRatio : 1 - stepRatio);
    }
}
