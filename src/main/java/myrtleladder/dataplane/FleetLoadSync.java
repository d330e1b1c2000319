package myrtleladder.dataplane;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Supplier;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.UpstreamLoad;

/**
 * Exchanges loads and cached prompt prefixes with the other balancers by way of the primary:
 * reports go along with polls and requests for quota, responses carry the others' sums. A prefix is
 * announced again until a response shows that the announcement arrived. Confined to the event loop.
 */
final class FleetLoadSync {
    /** Age up to which the others' sums are used: a poll's timeout and two long polls. */
    static final long MAX_LOAD_AGE_MS = 2_000;

    /** Time after which a prefix is announced again that is in use. */
    private static final long ANNOUNCE_INTERVAL_MS = 20_000;

    /** Most announcements that wait to be acknowledged; others are dropped. */
    private static final int MAX_PENDING_ANNOUNCEMENTS = 512;

    /** Most announcements in one report. */
    private static final int MAX_ANNOUNCEMENTS_PER_REPORT = 64;

    /** Supplies the pending load while no request waits for its quota. */
    static final Supplier<UpstreamLoad> NO_PENDING_LOAD = () -> null;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final UpstreamDirectory directory;
    private final long process;
    private final Set<Announcement> pendingAnnouncements = new LinkedHashSet<>();
    private String balancer = "";
    private long sequence;
    private long epoch;
    private long promptRevision;
    private long loadsReceivedAtMs = NEVER;
    private Supplier<UpstreamLoad> pendingLoad = NO_PENDING_LOAD;

    /** A prefix that this balancer sent to an upstream, by their keys. */
    private record Announcement(long prefixHash, int upstream) {}

    /**
     * Creates the component.
     *
     * @param process tells this process from others of the same balancer
     */
    FleetLoadSync(UpstreamDirectory directory, long process) {
        this.directory = directory;
        this.process = process;
    }

    /** Sets the name under which the reports go. */
    void setBalancer(String name) {
        balancer = name;
    }

    /** Whether the others' loads are known and fresh. */
    boolean hasFreshLoads(long nowMs) {
        return nowMs - loadsReceivedAtMs <= MAX_LOAD_AGE_MS;
    }

    /** Announces that a prompt is sent to an upstream, which caches its shared prefix from then. */
    void promptSent(PromptSegments prompt, Upstream upstream, long nowMs) {
        long prefixHash = prompt.sharedPrefixHash();
        long announcedAtMs = upstream.prefixCache().lastAnnouncedAtMs(prefixHash);
        if (nowMs - announcedAtMs < ANNOUNCE_INTERVAL_MS) {
            return;
        }
        upstream.prefixCache().recordAnnounced(prefixHash, nowMs);
        if (pendingAnnouncements.size() < MAX_PENDING_ANNOUNCEMENTS) {
            pendingAnnouncements.add(new Announcement(prefixHash, upstream.key()));
        }
    }

    /**
     * Sets the load of the request that waits for its quota; reports include it, so that the
     * primary knows of it before the request is sent rather than with the next poll.
     */
    void setPendingLoad(Supplier<UpstreamLoad> supplier) {
        pendingLoad = supplier;
    }

    /** Builds the next report. */
    LoadReport createReport() {
        LoadReport report = new LoadReport();
        report.balancer = balancer;
        report.processId = process;
        report.sequence = ++sequence;
        report.epoch = epoch;
        report.promptRevision = promptRevision;
        for (Upstream upstream : directory.all()) {
            if (upstream.ownRequests() > 0) {
                report.loads.add(loadOf(upstream));
            }
        }
        UpstreamLoad pending = pendingLoad.get();
        if (pending != null) {
            report.loads.add(pending);
        }
        addAnnouncements(report);
        return report;
    }

    private static UpstreamLoad loadOf(Upstream upstream) {
        long tokens = Math.min(Integer.MAX_VALUE, upstream.pendingPromptTokens());
        return UpstreamLoad.of(upstream.key(), upstream.ownRequests(), (int) tokens);
    }

    private void addAnnouncements(LoadReport report) {
        int added = 0;
        for (Announcement announcement : pendingAnnouncements) {
            if (added == MAX_ANNOUNCEMENTS_PER_REPORT) {
                return;
            }
            report.cachedPrompts.add(
                    CachedPrompt.of(announcement.prefixHash(), announcement.upstream()));
            added++;
        }
    }

    /**
     * Takes the response to a report. One of a lower epoch is ignored.
     *
     * @param response null if the responder knows nothing of loads
     */
    void applyResponse(LoadReport report, FleetLoads response, long nowMs) {
        if (response == null || response.epoch < epoch) {
            return;
        }
        removeAcknowledged(report);
        promptRevision =
                response.epoch == epoch
                        ? Math.max(promptRevision, response.promptRevision)
                        : response.promptRevision;
        epoch = response.epoch;
        directory.applyCachedPrompts(response.cachedPrompts, nowMs);
        if (response.loadsKnown) {
            loadsReceivedAtMs = nowMs;
            directory.applyFleetLoads(response.loads, nowMs);
        }
    }

    private void removeAcknowledged(LoadReport report) {
        for (CachedPrompt prompt : report.cachedPrompts) {
            pendingAnnouncements.remove(new Announcement(prompt.prefixHash, prompt.upstreamKey));
        }
    }
}
