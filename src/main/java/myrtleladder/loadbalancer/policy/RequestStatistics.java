package myrtleladder.loadbalancer.policy;

/** Smoothed figures over all upstreams: answer times, costs, rates of requests. */
final class RequestStatistics {
    /** Smoothing of each answer into an upstream's own times. */
    static final double UPSTREAM_SMOOTHING = 0.15;

    /** Smoothing of each answer into the times over all; many more answers feed them. */
    static final double FLEET_SMOOTHING = 0.02;

    /** Smoothing of each request into the mean cost. */
    private static final double COST_SMOOTHING = 0.01;

    /** Smoothing of each rejection into the time that requests wait before one. */
    private static final double REJECTION_SMOOTHING = 0.05;

    /** Smoothing of each period into the rate of requests. */
    private static final double REQUEST_RATE_SMOOTHING = 0.1;

    private static final double MICROS_PER_SECOND = 1e6;

    private final double[] classAnswerTimeUs;
    private final long[] classAnswers;
    private final double[] waitBeforeRejectionUs;
    private double answerTimeUs;
    private double paceUs;
    private double meanCost;
    private double minServiceTime;
    private double requestsPerSecond;
    private long requestsInPeriod;
    private long requests;

    /** Creates the figures with the pace to be taken for granted until answers come. */
    RequestStatistics(int classes, double firstPaceUs) {
        this.classAnswerTimeUs = new double[classes];
        this.classAnswers = new long[classes];
        this.waitBeforeRejectionUs = new double[classes];
        this.paceUs = firstPaceUs;
    }

    /** Exponential smoothing; 0 stands for no value yet, and the first sample is taken whole. */
    static double smooth(double old, double sample, double share) {
        return old == 0 ? sample : old + share * (sample - old);
    }

    /** Counts an arriving request; its order of arrival, from 0. */
    long nextSequence() {
        return requests++;
    }

    void recordArrival(double cost) {
        meanCost = smooth(meanCost, cost, COST_SMOOTHING);
        requestsInPeriod++;
    }

    void recordAnswer(int classIndex, long tookUs, double sampledPaceUs) {
        paceUs = smooth(paceUs, sampledPaceUs, FLEET_SMOOTHING);
        answerTimeUs = smooth(answerTimeUs, tookUs, FLEET_SMOOTHING);
        classAnswers[classIndex]++;
        // A plain mean at first: the first answers are slow.
        double share = Math.max(FLEET_SMOOTHING, 1.0 / classAnswers[classIndex]);
        classAnswerTimeUs[classIndex] = smooth(classAnswerTimeUs[classIndex], tookUs, share);
    }

    void recordRejection(int classIndex, long waitedUs) {
        waitBeforeRejectionUs[classIndex] +=
                REJECTION_SMOOTHING * (waitedUs - waitBeforeRejectionUs[classIndex]);
    }

    void measureRequestRate(long periodUs) {
        requestsPerSecond +=
                REQUEST_RATE_SMOOTHING
                        * (requestsInPeriod * MICROS_PER_SECOND / periodUs - requestsPerSecond);
        requestsInPeriod = 0;
    }

    void setMinServiceTime(double mean) {
        minServiceTime = mean;
    }

    /** Whether any request has arrived. */
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

    /** How long a class's requests typically waited before they were rejected. */
    double waitBeforeRejectionUs(int classIndex) {
        return waitBeforeRejectionUs[classIndex];
    }

    /** Typical time that each request in a queue adds to it. */
    double paceUs() {
        return paceUs;
    }

    /** Mean cost of a request; 0 before the first. */
    double meanCost() {
        return meanCost;
    }

    /** Mean over all upstreams of their least service times. */
    double minServiceTime() {
        return minServiceTime;
    }

    double requestsPerSecond() {
        return requestsPerSecond;
    }
}
