package myrtleladder.loadbalancer.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What this balancer knows of one process of an upstream. A restart of the upstream gets a new
 * instance; attempts keep the instance that they were sent to, also after it has left the list.
 *
 * <p>Each group of fields has one writer, named at the group; everyone else only reads it. Confined
 * to the thread that calls the load balancer.
 */
final class UpstreamState extends UtilisationWeights.Weighted {
    /** A time before all events: something that has never happened. */
    static final long NEVER_US = Long.MIN_VALUE / 2;

    /** Bits of the upstream's hash that peers send to each other. */
    private static final int HASH_MASK = 0xFFFFFF;

    /** Least utilisation that is taken for a report; slight rounding below 0 is accepted. */
    private static final double LEAST_UTILISATION = -0.5;

    /** Greatest utilisation that is taken for a report; slight excess is clamped to 1. */
    private static final double GREATEST_UTILISATION = 2;

    final String id;

    /** The 24 bits by which peers name this upstream in their messages. */
    final int hash;

    /** This balancer's rank for the upstream; the lowest ranks are its subset. */
    final long subsetRank;

    // Written by UpstreamTable.

    /** The upstream as the endpoint list has it. */
    Upstream endpoint;

    /**
     * Relative capacity from the list; 1 where ratings are not used or the rating is not above 0.
     */
    double rating = 1;

    // Written by acceptReport.

    /** The last plausible load report; null before the first. */
    LoadReport report;

    long reportedAtUs = NEVER_US;

    // Written by RequestDispatcher.

    /** Attempts of this balancer that are in flight. */
    int inFlight;

    /** Their work, in microseconds where hints are given. */
    double workInFlight;

    // Written by OutcomeRecorder and OnDemandProber: the load of other balancers.

    /** Requests that others had in flight at {@link #othersSeenAtUs}. */
    double othersInFlight;

    long othersSeenAtUs = NEVER_US;

    // Written by OnDemandProber and PeriodicProber.

    long onDemandProbedAtUs = NEVER_US;
    long periodicallyProbedAtUs = NEVER_US;

    // Written by PeerLoadExchange.

    /** The last message of each peer by its position in the group. */
    final Map<Integer, PeerLoad> peerLoads = new HashMap<>();

    /** Positions of the peers that have this upstream in their subset; null until computed. */
    List<Integer> sharingPeers;

    // Written by ConcurrencyLimiter.

    /** In-flight limit of this balancer, in requests; may be a fraction. */
    double concurrencyLimit;

    long limitCutAtUs;

    /** No attempt is sent before this time where an in-flight limit below 1 applies. */
    long pausedUntilUs;

    /**
     * Least service time seen lately: microseconds for each unit of hinted work, or microseconds of
     * a request without a hint. 0 before the first answer.
     */
    double minServiceTime;

    long minServiceTimeAtUs;

    // Written by OutcomeRecorder and OutlierEjection: health.

    /** Smoothed answer time in microseconds; 0 before the first answer. */
    double answerTimeUs;

    /** Smoothed answer time divided by the load at the send: the pace of this upstream's queue. */
    double paceUs;

    /** Smoothed share of attempts that ended with an error or a reset, 0 to 1. */
    double errorRate;

    /** When an answer last came, or when the upstream was sent a request while idle. */
    long lastProgressAtUs;

    long lastAnswerAtUs = NEVER_US;
    long ejectedUntilUs;

    /** Duration of the next ejection; doubles with each until an answer comes. */
    long nextEjectionUs = OutlierEjection.FIRST_EJECTION_US;

    boolean isHanging;

    // Written by SlowStart.

    /** Smoothed work that this upstream completes for this balancer in a microsecond. */
    double completedWorkRate;

    /** Work completed in the current period; OutcomeRecorder adds to it. */
    double completedWork;

    /** Token bucket while warming up, in units of work; RequestDispatcher takes from it. */
    double slowStartTokens;

    long slowStartTokensAtUs;

    /** Since when the bucket has held enough for a mean request. */
    long slowStartTokensUnusedSinceUs;

    /**
     * Creates the state of a newly listed process, seen from a balancer's position in its group.
     */
    UpstreamState(String id, int balancerPosition) {
        this.id = id;
        this.hash = (int) RendezvousHash.mix(id.hashCode()) & HASH_MASK;
        this.subsetRank = rankFor(subsetSalt(balancerPosition));
    }

    /** The salt by which the balancer at a position ranks upstreams. */
    static long subsetSalt(int balancerPosition) {
        return RendezvousHash.mix(balancerPosition + 1);
    }

    /** The rank of this upstream for the balancer with that salt. */
    long rankFor(long salt) {
        return RendezvousHash.combine(hash, salt);
    }

    /** Takes in a load report, null if there is none; an implausible one is ignored. */
    void acceptReport(LoadReport newReport, long nowUs) {
        if (newReport == null || !isPlausible(newReport.utilisation())) {
            return;
        }
        report = newReport;
        reportedAtUs = nowUs;
    }

    /** NaN is not plausible either. */
    private static boolean isPlausible(double utilisation) {
        return utilisation >= LEAST_UTILISATION && utilisation <= GREATEST_UTILISATION;
    }

    /** Whether nothing has answered since it was last ejected. */
    boolean isUnprovenSinceEjection() {
        return nextEjectionUs > OutlierEjection.FIRST_EJECTION_US;
    }
}
