package myrtleladder.dataplane;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import myrtleladder.configuration.Service;
import myrtleladder.loadbalancer.policy.EarliestDeadlineFirstScheduler;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.UpstreamLoad;

/**
 * One incarnation of an upstream instance: its record from the control plane, the attempts of this
 * balancer in flight there, and the statistics that this balancer collects. Only {@link
 * UpstreamDirectory} creates upstreams and updates their records. Confined to the event loop.
 */
final class Upstream extends EarliestDeadlineFirstScheduler.Candidate {
    /** Backlog that counts as a utilisation of 1. */
    private static final double FULL_UTILISATION_BACKLOG_MS = 1_000;

    private final int key;
    private final UpstreamWarmup warmup;
    private final Set<Attempt> attempts = new HashSet<>();
    private final OutlierEjection ejection = new OutlierEjection();
    private final ExtraDelayEstimate extraDelay = new ExtraDelayEstimate();
    private final ReportedLoad reportedLoad = new ReportedLoad();
    private final PeerLoad peerLoad = new PeerLoad();
    private InstanceRecord record;
    private long affinityHash;
    private PrefixCacheModel prefixCache = new PrefixCacheModel(0);
    private boolean hasEngine;
    private double responseTimeMs;
    private long lastByteAtMs;
    private double refreshedInFlight;

    /** Creates an upstream from its first record. */
    Upstream(InstanceRecord record, WarmupContext warmupContext, long nowMs) {
        this.record = record;
        this.warmup = new UpstreamWarmup(warmupContext, record.id);
        this.warmup.applyRecord(record, true, nowMs);
        this.affinityHash = affinityHash(record);
        this.key = UpstreamLoad.keyOf(record.id);
    }

    /** An incarnation that takes over an ordinal has the same hash as its predecessor. */
    private static long affinityHash(InstanceRecord record) {
        boolean hasOrdinal = record.ordinal != InstanceRecord.UNASSIGNED_ORDINAL;
        return StableHash.of(hasOrdinal ? record.service + "#" + record.ordinal : record.id);
    }

    InstanceRecord record() {
        return record;
    }

    /** Replaces the record by a newer one of the same incarnation. */
    void updateRecord(InstanceRecord next) {
        record = next;
        affinityHash = affinityHash(next);
    }

    /** Warm-up state and request limit of this upstream. */
    UpstreamWarmup warmup() {
        return warmup;
    }

    /** Whether the warm-up limit admits one more request, counting those that are connecting. */
    boolean warmupAdmitsRequest(long nowMs) {
        if (!warmup.isLimited(nowMs)) {
            return true; // common case, without counting attempts
        }
        int connecting = 0;
        for (Attempt attempt : attempts) {
            connecting += attempt.state() == Attempt.State.CONNECTING ? 1 : 0;
        }
        return warmup.admits(connecting, nowMs);
    }

    /** Key of this incarnation in the messages that balancers exchange. */
    int key() {
        return key;
    }

    /** Whether the control plane has assigned an ordinal, which determines the affinity hash. */
    boolean hasOrdinal() {
        return record.ordinal != InstanceRecord.UNASSIGNED_ORDINAL;
    }

    /** Rendezvous hashing score of this upstream for a prefix; the highest score is preferred. */
    long affinityScore(long prefixHash) {
        return StableHash.mix(affinityHash ^ prefixHash);
    }

    /** Sets the engine of a model upstream and resets the model of its cache; null is ignored. */
    void setEngine(Service.Engine engine) {
        if (engine != null) {
            prefixCache = new PrefixCacheModel(engine.kvCacheTokens());
            hasEngine = true;
        }
    }

    /** Whether an engine was set, which only model services have. */
    boolean hasEngine() {
        return hasEngine;
    }

    PrefixCacheModel prefixCache() {
        return prefixCache;
    }

    /** Whether the stage in its record is READY. */
    boolean isReady() {
        return record.stage == InstanceRecord.Stage.READY;
    }

    /** Number of requests that it processes concurrently, at least 1. */
    int capacity() {
        return Math.max(1, record.capacity);
    }

    void attemptStarted(Attempt attempt, long nowMs) {
        if (attempts.isEmpty()) {
            lastByteAtMs = nowMs;
        }
        attempts.add(attempt);
    }

    void attemptEnded(Attempt attempt) {
        attempts.remove(attempt);
    }

    /** Ends attempts that have not been sent yet, so that their requests are sent elsewhere. */
    void withdrawUnsentAttempts() {
        List.copyOf(attempts).forEach(Attempt::withdrawIfUnsent);
    }

    /** Requests that this balancer has in flight there. */
    int ownRequests() {
        return attempts.size();
    }

    /** Prompt tokens in flight from this balancer whose prefill has not completed. */
    long pendingPromptTokens() {
        long sum = 0;
        for (Attempt attempt : attempts) {
            sum += attempt.pendingPromptTokens();
        }
        return sum;
    }

    /** Requests that other balancers have in flight there, by the newer of peer sums and report. */
    double peerRequests(long nowMs) {
        return peerLoad.isNewerThan(reportedLoad)
                ? peerLoad.requests(nowMs)
                : reportedLoad.peerRequests(nowMs);
    }

    /** Prompt tokens in flight from other balancers whose prefill has not completed. */
    double peerPromptTokens(long nowMs) {
        return peerLoad.promptTokens(nowMs);
    }

    /** Replaces the sums of the other balancers' loads. */
    void updatePeerLoad(int requests, int promptTokens, long nowMs) {
        peerLoad.update(requests, promptTokens, nowMs);
    }

    /** Applies the load field of a response; null (no such field) is ignored. */
    void updateReportedLoad(String load, long nowMs) {
        if (load != null) {
            reportedLoad.update(load, ownRequests(), nowMs);
        }
    }

    /** Requests that wait for a slot there according to the last report. */
    int reportedWaitingRequests(long nowMs) {
        return reportedLoad.waitingRequests(nowMs);
    }

    /** Recomputes {@link #inFlight}, on which picks are based, for the given time. */
    void refreshInFlight(long nowMs) {
        refreshedInFlight = ownRequests() + peerRequests(nowMs);
    }

    /** Requests of all balancers in flight there, as of the last {@link #refreshInFlight}. */
    @Override
    public double inFlight() {
        return refreshedInFlight;
    }

    void recordByteReceived(long nowMs) {
        lastByteAtMs = nowMs;
    }

    /**
     * Time of the last byte received, or of the start of the first attempt after an idle period.
     */
    long lastByteAtMs() {
        return lastByteAtMs;
    }

    void recordSuccess(long durationMs) {
        ejection.recordSuccess();
        responseTimeMs =
                responseTimeMs == 0
                        ? durationMs
                        : responseTimeMs
                                + OutlierEjection.SMOOTHING_FACTOR * (durationMs - responseTimeMs);
    }

    /** Records the failure of a request that was sent; repeated failures eject the upstream. */
    void recordFailure(long nowMs) {
        if (ejection.recordFailure()) {
            eject(nowMs);
        }
    }

    /** Records that no connection could be established, which ejects the upstream immediately. */
    void recordConnectFailure(long nowMs) {
        ejection.recordFailure();
        markUnresponsive(nowMs);
    }

    /** Ejects an upstream that does not respond. It may be down and return cold. */
    void markUnresponsive(long nowMs) {
        eject(nowMs);
        warmup.markUnconfirmed(nowMs);
    }

    /** Ejects the upstream unless it is already ejected; its cache may be lost by then. */
    private void eject(long nowMs) {
        if (ejection.eject(nowMs)) {
            prefixCache.clearSent();
        }
    }

    /**
     * Whether the upstream is excluded from picks. After the ejection time a single request probes
     * it; until one succeeds, it counts as ejected while a request is in flight.
     */
    boolean isEjected(long nowMs) {
        return ejection.isEjected(nowMs) || (ejection.isProbing() && ownRequests() > 0);
    }

    /** Moving average of the fraction of failed requests, 0 to 1. */
    double errorRate() {
        return ejection.errorRate();
    }

    /** Moving average of the time to complete a response, 0 before the first. */
    double responseTimeMs() {
        return responseTimeMs;
    }

    /** Records the delay of a first event beyond the predicted one. */
    void recordExtraDelay(double delayMs, long nowMs) {
        extraDelay.addSample(delayMs, nowMs);
    }

    /** Expected delay of first events beyond the predicted one, see {@link ExtraDelayEstimate}. */
    double extraDelayMs(long nowMs) {
        return extraDelay.valueMs(nowMs);
    }

    /**
     * Updates the utilisation, from which weights are computed, using reported loads, own requests,
     * delays and errors. It is NaN without fresh loads and own requests.
     */
    void updateUtilisation(long nowMs, double msPerToken) {
        refreshInFlight(nowMs);
        if (!reportedLoad.isFresh(nowMs) && !peerLoad.isFresh(nowMs) && ownRequests() == 0) {
            utilisation = Double.NaN;
            return;
        }
        double capacityUtilisation = Math.min(1, inFlight() / capacity());
        double backlogTokens = pendingPromptTokens() + peerPromptTokens(nowMs);
        double backlogMs = backlogTokens * msPerToken + extraDelayMs(nowMs);
        double backlogUtilisation = Math.min(1, backlogMs / FULL_UTILISATION_BACKLOG_MS);
        utilisation = Math.min(1, Math.max(capacityUtilisation, backlogUtilisation) + errorRate());
    }
}
