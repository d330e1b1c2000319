package myrtleladder.dataplane;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Supplier;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.UpstreamLoad;

/**
 * Exchanges upstream loads and cached prompt prefixes with the other balancers through the primary.
 * Reports are attached to polls and quota requests; responses carry the sums over the other
 * balancers. Each announcement of a prefix is repeated until a response acknowledges it. Confined
 * to the event loop.
 */
final class FleetLoadSync {
    /** Maximum age of the other balancers' loads: a poll timeout and two long polls. */
    static final long MAX_LOAD_AGE_MS = 2_000;

    /** Minimum time between two announcements of a prefix at the same upstream. */
    private static final long ANNOUNCE_INTERVAL_MS = 20_000;

    /** Maximum number of unacknowledged announcements; further ones are dropped. */
    private static final int MAX_PENDING_ANNOUNCEMENTS = 512;

    /** Maximum number of announcements in one report. */
    private static final int MAX_ANNOUNCEMENTS_PER_REPORT = 64;

    /** Supplier for {@link #setPendingLoad} while no request waits for quota. */
    static final Supplier<UpstreamLoad> NO_PENDING_LOAD = () -> null;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final UpstreamDirectory directory;
    private final long processId;
    private final Set<Announcement> pendingAnnouncements = new LinkedHashSet<>();
    private String balancerName = "";
    private long sequence;
    private long epoch;
    private long promptRevision;
    private long loadsReceivedAtMs = NEVER_MS;
    private Supplier<UpstreamLoad> pendingLoad = NO_PENDING_LOAD;

    /** A prefix that this balancer sent to an upstream, as prefix hash and upstream key. */
    private record Announcement(long prefixHash, int upstream) {}

    /**
     * Creates an instance that has not received any loads.
     *
     * @param processId distinguishes this process from earlier ones of the same balancer
     */
    FleetLoadSync(UpstreamDirectory directory, long processId) {
        this.directory = directory;
        this.processId = processId;
    }

    /** Sets the balancer name in the reports. */
    void setBalancerName(String name) {
        balancerName = name;
    }

    /** Whether the other balancers' loads were received within {@link #MAX_LOAD_AGE_MS}. */
    boolean hasFreshLoads(long nowMs) {
        return nowMs - loadsReceivedAtMs <= MAX_LOAD_AGE_MS;
    }

    /**
     * Queues the announcement that an upstream caches the shared prefix of a prompt sent to it,
     * unless the prefix was announced there recently.
     */
    void recordPromptSent(PromptSegments prompt, Upstream upstream, long nowMs) {
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
     * Sets the expected load of the request that waits for quota. Reports include it so that the
     * primary learns of the load before the request is sent rather than with the next poll.
     */
    void setPendingLoad(Supplier<UpstreamLoad> supplier) {
        pendingLoad = supplier;
    }

    /** Builds the next report and increments the report sequence number. */
    LoadReport createReport() {
        LoadReport report = new LoadReport();
        report.balancer = balancerName;
        report.processId = processId;
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
     * Applies the response to a report. Responses of an earlier epoch are ignored.
     *
     * @param response null if the responder does not track loads
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
