package myrtleladder.loadbalancer.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The state that this balancer keeps of one process of an upstream. A restart of the upstream
 * creates a new instance. An attempt refers to the instance that it was sent to, even after the
 * process has left the list.
 *
 * <p>Each group of fields is written by the classes named in its comment and read by all. Confined
 * to the thread that calls the load balancer.
 */
final class UpstreamState extends UtilisationWeights.Weighted {
    /** A time before all events, for events that have never happened. */
    static final long NEVER_US = Long.MIN_VALUE / 2;

    /** Bits of the hash that are sent in peer messages. */
    private static final int HASH_MASK = 0xFFFFFF;

    /** Minimum plausible utilisation; accepts values slightly below 0. */
    private static final double MIN_UTILISATION = -0.5;

    /** Maximum plausible utilisation; values above 1 are clamped to 1. */
    private static final double MAX_UTILISATION = 2;

    final String id;

    /** The 24 bits that identify this upstream in peer messages. */
    final int hash;

    /** The rank of this upstream for this balancer; the lowest ranks are its subset. */
    final long subsetRank;

    // Written by UpstreamTable.

    /** The upstream's entry in the endpoint list. */
    Upstream endpoint;

    /** Relative capacity from the list; 1 if ratings are not used or the rating is not positive. */
    double rating = 1;

    // Written by recordLoadReport.

    /** The last plausible load report; null before the first. */
    LoadReport loadReport;

    long loadReportAtUs = NEVER_US;

    // Written by RequestDispatcher.

    /** Attempts of this balancer that are in flight. */
    int inFlight;

    /** Their expected work, in the unit of {@link RequestState#cost}. */
    double workInFlight;

    // Load of other balancers. Written by OutcomeRecorder and OnDemandProber.

    /** Requests of other balancers that were in flight at {@link #otherBalancersSeenAtUs}. */
    double otherBalancersInFlight;

    long otherBalancersSeenAtUs = NEVER_US;

    // Written by OnDemandProber and PeriodicProber.

    long onDemandProbedAtUs = NEVER_US;
    long periodicallyProbedAtUs = NEVER_US;

    // Written by PeerLoadExchange.

    /** The load in the last message of each peer, by the peer's position in the group. */
    final Map<Integer, PeerLoad> peerLoads = new HashMap<>();

    /** Positions of the peers that have this upstream in their subset; null if not computed. */
    List<Integer> sharingPeers;

    // Written by ConcurrencyLimiter.

    /** In-flight limit of this balancer, in requests; may be a fraction. */
    double concurrencyLimit;

    long lastLimitCutAtUs;

    /** No attempt is sent before this time because of an in-flight limit below 1. */
    long pausedUntilUs;

    /**
     * Minimum service time seen recently: microseconds per unit of hinted work, or microseconds of
     * a request without a hint. 0 before the first answer.
     */
    double minServiceTime;

    long minServiceTimeAtUs;

    // Health. Written by OutcomeRecorder and OutlierEjection; RequestDispatcher also writes
    // lastProgressAtUs.

    /** Smoothed answer time in microseconds; 0 before the first answer. */
    double answerTimeUs;

    /** Smoothed answer time divided by the load at the send: the delay that each request adds. */
    double delayPerRequestUs;

    /** Smoothed fraction of attempts that ended with an error or a reset, 0 to 1. */
    double errorRate;

    /**
     * Time of the last answer, error or reset, or of the last send while nothing was in flight if
     * that is later.
     */
    long lastProgressAtUs;

    long lastAnswerAtUs = NEVER_US;
    long ejectedUntilUs;

    /** Duration of the next ejection; doubles with each one until the upstream answers. */
    long nextEjectionUs = OutlierEjection.INITIAL_EJECTION_US;

    boolean isHanging;

    // Written by SlowStart.

    /** Smoothed work that this upstream completes for this balancer per microsecond. */
    double completedWorkRate;

    /** Work completed in the current period. OutcomeRecorder adds to it. */
    double completedWork;

    /** Token bucket during slow start, in units of work; may be negative. */
    double slowStartTokens;

    long slowStartTokensAtUs;

    /** Time since which the bucket has had the tokens for a mean request. */
    long slowStartTokensUnusedSinceUs;

    /**
     * Creates the state of a newly listed process.
     *
     * @param balancerPosition position of this balancer in its group
     */
    UpstreamState(String id, int balancerPosition) {
        this.id = id;
        this.hash = (int) RendezvousHash.mix(id.hashCode()) & HASH_MASK;
        this.subsetRank = rankFor(subsetSalt(balancerPosition));
    }

    /** The salt with which the balancer at a position ranks upstreams. */
    static long subsetSalt(int balancerPosition) {
        return RendezvousHash.mix(balancerPosition + 1);
    }

    /** The rank of this upstream for the balancer with that salt. */
    long rankFor(long salt) {
        return RendezvousHash.combine(hash, salt);
    }

    /** Stores a load report. Ignores null and implausible reports. */
    void recordLoadReport(LoadReport newReport, long nowUs) {
        if (newReport == null || !isPlausible(newReport.utilisation())) {
            return;
        }
        loadReport = newReport;
        loadReportAtUs = nowUs;
    }

    /** False for NaN. */
    private static boolean isPlausible(double utilisation) {
        return utilisation >= MIN_UTILISATION && utilisation <= MAX_UTILISATION;
    }

    /** Whether it has not answered since it was last ejected. */
    boolean isUnprovenSinceEjection() {
        return nextEjectionUs > OutlierEjection.INITIAL_EJECTION_US;
    }
}
