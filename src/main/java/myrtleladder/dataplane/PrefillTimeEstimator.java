package myrtleladder.dataplane;

/**
 * Estimates how long model upstreams take to the first event, from responses of upstreams that read
 * no other prompt meanwhile: a time for each token of the prompt (prefill), and a base that each
 * response takes. Steps of a fixed ratio lead to the medians, since what others had in flight
 * spoils single samples. Confined to the event loop.
 */
final class PrefillTimeEstimator {
    /** Estimate without samples. */
    private static final double INITIAL_MS_PER_TOKEN = 0.016;

    /** Lower bound of the time for a token. */
    private static final double MIN_MS_PER_TOKEN = 0.002;

    /** Upper bound of the time for a token. */
    private static final double MAX_MS_PER_TOKEN = 0.2;

    /** Base without samples. */
    private static final double INITIAL_BASE_MS = 8;

    /** Lower bound of the base. */
    private static final double MIN_BASE_MS = 1;

    /** Upper bound of the base. */
    private static final double MAX_BASE_MS = 500;

    /** Prompts from this length on sample the time for a token, shorter ones the base. */
    private static final int LONG_PROMPT_TOKENS = 1_500;

    /** Ratio of a step after many samples. */
    private static final double MIN_STEP = 0.03;

    /** Ratio of the first step, divided by the number of samples. */
    private static final double INITIAL_STEP = 0.3;

    private double msPerToken = INITIAL_MS_PER_TOKEN;
    private double baseMs = INITIAL_BASE_MS;
    private int longSamples;
    private int shortSamples;

    /** Time that each token of a prompt takes. */
    double msPerToken() {
        return msPerToken;
    }

    /** Time that each response takes beside its prompt. */
    double baseMs() {
        return baseMs;
    }

    /** Takes the time from sending a prompt to the first event. */
    void addSample(int promptTokens, double timeToFirstEventMs) {
        if (promptTokens >= LONG_PROMPT_TOKENS) {
            addLongSample(promptTokens, timeToFirstEventMs);
        } else {
            addShortSample(promptTokens, timeToFirstEventMs);
        }
    }

    private void addLongSample(int promptTokens, double timeToFirstEventMs) {
        double sample = Math.max(0, timeToFirstEventMs - baseMs) / promptTokens;
        double next = stepTowards(sample, msPerToken, longSamples);
        longSamples++;
        msPerToken = Math.max(MIN_MS_PER_TOKEN, Math.min(MAX_MS_PER_TOKEN, next));
    }

    private void addShortSample(int promptTokens, double timeToFirstEventMs) {
        double sample = timeToFirstEventMs - promptTokens * msPerToken;
        double next = shortSamples == 0 ? sample : stepTowards(sample, baseMs, shortSamples);
        shortSamples++;
        baseMs = Math.max(MIN_BASE_MS, Math.min(MAX_BASE_MS, next));
    }

    private static double stepTowards(double sample, double value, int samples) {
        double step = Math.max(MIN_STEP, INITIAL_STEP / (samples + 1));
        return value * (sample > value ? 1 + step : 1 - step);
    }
}
