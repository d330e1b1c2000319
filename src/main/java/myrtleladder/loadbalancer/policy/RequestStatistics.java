package myrtleladder.loadbalancer.policy;

/** Smoothed statistics over all upstreams: answer times, costs and request rates. */
final class RequestStatistics {
    /** Weight of each sample in the smoothed values of an upstream. */
    static final double UPSTREAM_SMOOTHING = 0.15;

    /** Weight of each answer in the smoothed times of all upstreams, which have more samples. */
    static final double FLEET_SMOOTHING = 0.02;

    /** Weight of each request in the smoothed mean cost. */
    private static final double COST_SMOOTHING = 0.01;

    /** Weight of each rejection in the smoothed wait before a rejection. */
    private static final double REJECTION_SMOOTHING = 0.05;

    /** Weight of each period in the smoothed request rate. */
    private static final double REQUEST_RATE_SMOOTHING = 0.1;

    private static final double MICROS_PER_SECOND = 1e6;

    private final double[] classAnswerTimeUs;
    private final long[] classAnswers;
    private final double[] waitBeforeRejectionUs;
    private double answerTimeUs;
    private double delayPerRequestUs;
    private double meanCost;
    private double minServiceTime;
    private double requestsPerSecond;
    private long requestsInPeriod;
    private long requests;

    /** Creates statistics with a delay per request to assume before the first answers. */
    RequestStatistics(int classes, double initialDelayPerRequestUs) {
        this.classAnswerTimeUs = new double[classes];
        this.classAnswers = new long[classes];
        this.waitBeforeRejectionUs = new double[classes];
        this.delayPerRequestUs = initialDelayPerRequestUs;
    }

    /** Exponential smoothing. An old value of 0 means none, and is replaced by the sample. */
    static double smooth(double old, double sample, double weight) {
        return old == 0 ? sample : old + weight * (sample - old);
    }

    /** Counts an arriving request and returns its sequence number, from 0. */
    long nextSequence() {
        return requests++;
    }

    void recordArrival(double cost) {
        meanCost = smooth(meanCost, cost, COST_SMOOTHING);
        requestsInPeriod++;
    }

    void recordAnswer(int classIndex, long durationUs, double sampledDelayPerRequestUs) {
        delayPerRequestUs = smooth(delayPerRequestUs, sampledDelayPerRequestUs, FLEET_SMOOTHING);
        answerTimeUs = smooth(answerTimeUs, durationUs, FLEET_SMOOTHING);
        classAnswers[classIndex]++;
        // An arithmetic mean at first, because the first answers are slow.
        double weight = Math.max(FLEET_SMOOTHING, 1.0 / classAnswers[classIndex]);
        classAnswerTimeUs[classIndex] = smooth(classAnswerTimeUs[classIndex], durationUs, weight);
    }

    void recordRejection(int classIndex, long waitedUs) {
        waitBeforeRejectionUs[classIndex] +=
                REJECTION_SMOOTHING * (waitedUs - waitBeforeRejectionUs[classIndex]);
    }

    void updateRequestRate(long periodUs) {
        requestsPerSecond +=
                REQUEST_RATE_SMOOTHING
                        * (requestsInPeriod * MICROS_PER_SECOND / periodUs - requestsPerSecond);
        requestsInPeriod = 0;
    }

    void setMinServiceTime(double mean) {
        minServiceTime = mean;
    }

    /** Whether any request has arrived since the start. */
    boolean hasRequests() {
        return requests > 0;
    }

    /** Typical answer time in microseconds; 0 before the first answer. */
    double answerTimeUs() {
        return answerTimeUs;
    }

    /** Typical answer time of a class in microseconds; 0 before the first answer. */
    double classAnswerTimeUs(int classIndex) {
        return classAnswerTimeUs[classIndex];
    }

    /** Typical wait of a class's requests before a rejection, microseconds. */
    double waitBeforeRejectionUs(int classIndex) {
        return waitBeforeRejectionUs[classIndex];
    }

    /** Typical delay that each request in a queue adds, microseconds. */
    double delayPerRequestUs() {
        return delayPerRequestUs;
    }

    /** Mean cost of a request; 0 before the first. */
    double meanCost() {
        return meanCost;
    }

    /** Mean over all upstreams of their minimum service times. */
    double minServiceTime() {
        return minServiceTime;
    }

    double requestsPerSecond() {
        return requestsPerSecond;
    }
}
