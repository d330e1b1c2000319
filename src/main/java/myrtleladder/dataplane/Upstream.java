package myrtleladder.dataplane;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import myrtleladder.configuration.Service;
import myrtleladder.loadbalancer.policy.EarliestDeadlineFirstScheduler;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.UpstreamLoad;

/**
 * An incarnation of an upstream as this balancer sees it: its record, the requests in flight there,
 * and what was observed of it. Confined to the event loop; {@link UpstreamDirectory} alone creates
 * upstreams and updates their records.
 */
final class Upstream extends EarliestDeadlineFirstScheduler.Candidate {
    /** Backlog that counts as full utilisation. */
    private static final double FULL_BACKLOG_MS = 1_000;

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
    private double inFlightAtLastRefresh;

    /** Creates an upstream from its first record. */
    Upstream(InstanceRecord record, WarmupContext warmupContext, long nowMs) {
        this.record = record;
        this.warmup = new UpstreamWarmup(warmupContext, record.id);
        this.warmup.recordReceived(record, true, nowMs);
        this.affinityHash = affinityHash(record);
        this.key = UpstreamLoad.keyOf(record.id);
    }

    /** The same for all incarnations that took over an ordinal one after the other. */
    private static long affinityHash(InstanceRecord record) {
        boolean hasOrdinal = record.ordinal != InstanceRecord.UNASSIGNED_ORDINAL;
        return StableHash.of(hasOrdinal ? record.service + "#" + record.ordinal : record.id);
    }

    InstanceRecord record() {
        return record;
    }

    /** Takes a newer record of the same incarnation. */
    void updateRecord(InstanceRecord next) {
        record = next;
        affinityHash = affinityHash(next);
    }

    /** Whether it may be cold, and what it may get meanwhile. */
    UpstreamWarmup warmup() {
        return warmup;
    }

    /** Whether one more request may be sent there, with those that wait for a connection. */
    boolean admitsRequest(long nowMs) {
        if (!warmup.isLimited(nowMs)) {
            return true; // the common case costs no count
        }
        int connecting = 0;
        for (Attempt attempt : attempts) {
            connecting += attempt.state() == Attempt.State.CONNECTING ? 1 : 0;
        }
        return warmup.admits(connecting, nowMs);
    }

    /** The number by which balancers name this incarnation to each other. */
    int key() {
        return key;
    }

    /** Whether the control plane has assigned an ordinal, which fixes its affinity. */
    boolean hasOrdinal() {
        return record.ordinal != InstanceRecord.UNASSIGNED_ORDINAL;
    }

    /** Score of this upstream for a prefix by rendezvous hashing; the highest is the first. */
    long affinityScore(long prefixHash) {
        return StableHash.mix(affinityHash ^ prefixHash);
    }

    /** Sets the engine of a model upstream and empties the model of its cache; null is ignored. */
    void setEngine(Service.Engine engine) {
        if (engine != null) {
            prefixCache = new PrefixCacheModel(engine.kvCacheTokens());
            hasEngine = true;
        }
    }

    boolean hasEngine() {
        return hasEngine;
    }

    PrefixCacheModel prefixCache() {
        return prefixCache;
    }

    /** Whether its record says that it takes requests. */
    boolean isReady() {
        return record.stage == InstanceRecord.Stage.READY;
    }

    /** Requests that it handles at once, at least one. */
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

    /** Ends the attempts of which nothing was sent yet; their requests go elsewhere. */
    void withdrawUnsentAttempts() {
        List.copyOf(attempts).forEach(Attempt::withdrawIfUnsent);
    }

    /** Requests of this balancer in flight there. */
    int ownRequests() {
        return attempts.size();
    }

    /** Prompt tokens that this balancer sent there and that are not read yet. */
    long pendingPromptTokens() {
        long sum = 0;
        for (Attempt attempt : attempts) {
            sum += attempt.pendingPromptTokens();
        }
        return sum;
    }

    /** Requests of other balancers in flight there, by the newer of report and peers' sums. */
    double peerRequests(long nowMs) {
        return peerLoad.isNewerThan(reportedLoad)
                ? peerLoad.requests(nowMs)
                : reportedLoad.peerRequests(nowMs);
    }

    /** Prompt tokens that other balancers sent there and that are not read yet. */
    double peerPromptTokens(long nowMs) {
        return peerLoad.promptTokens(nowMs);
    }

    /** Takes the other balancers' sums. */
    void updatePeerLoad(int requests, int promptTokens, long nowMs) {
        peerLoad.update(requests, promptTokens, nowMs);
    }

    /** Takes the load field of a response, null without one; see {@link ReportedLoad}. */
    void updateReportedLoad(String load, long nowMs) {
        if (load != null) {
            reportedLoad.update(load, ownRequests(), nowMs);
        }
    }

    /** Requests that wait there by the last report. */
    int reportedWaiting(long nowMs) {
        return reportedLoad.waiting(nowMs);
    }

    /** Computes {@link #inFlight}, which picks go by, for the present time. */
    void refreshInFlight(long nowMs) {
        inFlightAtLastRefresh = ownRequests() + peerRequests(nowMs);
    }

    /** Requests of all balancers in flight there when they were refreshed last. */
    @Override
    public double inFlight() {
        return inFlightAtLastRefresh;
    }

    void recordByteReceived(long nowMs) {
        lastByteAtMs = nowMs;
    }

    /** When the last byte came, or the first attempt after a time without any started. */
    long lastByteAtMs() {
        return lastByteAtMs;
    }

    void requestSucceeded(long tookMs) {
        ejection.recordSuccess();
        responseTimeMs =
                responseTimeMs == 0
                        ? tookMs
                        : responseTimeMs + OutlierEjection.SMOOTHING * (tookMs - responseTimeMs);
    }

    /** A request failed that was sent. */
    void requestFailed(long nowMs) {
        if (ejection.recordFailure()) {
            eject(nowMs);
        }
    }

    /** No connection could be had, which ejects the upstream at once. */
    void connectionFailed(long nowMs) {
        ejection.recordFailure();
        becameUnresponsive(nowMs);
    }

    /** Nothing is heard of the upstream, which ejects it: it may be down and come back cold. */
    void becameUnresponsive(long nowMs) {
        eject(nowMs);
        warmup.markUnconfirmed(nowMs);
    }

    /** Ejects the upstream unless it is ejected already; its cache may be lost. */
    private void eject(long nowMs) {
        if (ejection.eject(nowMs)) {
            prefixCache.clearSent();
        }
    }

    /** Whether requests go elsewhere; after the ejection one request probes it first. */
    boolean isEjected(long nowMs) {
        return ejection.isEjected(nowMs) || (ejection.isProbing() && ownRequests() > 0);
    }

    /** Smoothed share of requests that failed, 0 to 1. */
    double errorRate() {
        return ejection.errorRate();
    }

    /** Smoothed time of complete responses, 0 before the first. */
    double responseTimeMs() {
        return responseTimeMs;
    }

    /** Takes by how much the first event came later than known work explains. */
    void recordExtraDelay(double delayMs, long nowMs) {
        extraDelay.addSample(delayMs, nowMs);
    }

    /** Delay of first events beyond what known work explains. */
    double extraDelayMs(long nowMs) {
        return extraDelay.valueMs(nowMs);
    }

    /**
     * Derives the utilisation, by which weights are set, from reports, own requests, delays and
     * errors; NaN without any fresh ones.
     */
    void updateUtilisation(long nowMs, double msPerToken) {
        refreshInFlight(nowMs);
        if (!reportedLoad.isFresh(nowMs) && !peerLoad.isFresh(nowMs) && ownRequests() == 0) {
            utilisation = Double.NaN;
            return;
        }
        double ofCapacity = Math.min(1, inFlight() / capacity());
        double backlogTokens = pendingPromptTokens() + peerPromptTokens(nowMs);
        double backlogMs = backlogTokens * msPerToken + extraDelayMs(nowMs);
        double ofBacklog = Math.min(1, backlogMs / FULL_BACKLOG_MS);
        utilisation = Math.min(1, Math.max(ofCapacity, ofBacklog) + errorRate());
    }
}
