package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;

/**
 * The prompt prefixes that upstreams have cached, as announced by the balancers. The directory is a
 * compacted log: each announcement has a revision, so that each balancer receives only those that
 * are new to it, and a repeated announcement moves to the end of the log instead of being stored
 * twice.
 *
 * <p>Invariant: both maps contain the same announcements. Confined to the event loop.
 */
final class PromptDirectory {
    /** Maximum number of announcements in the log, to bound its memory. The oldest are dropped. */
    private static final int MAX_ANNOUNCEMENTS = 8_192;

    /** Maximum number of announcements in a response, to bound its size. */
    private static final int MAX_ANNOUNCEMENTS_IN_RESPONSE = 128;

    private final TreeMap<Long, CachedPrompt> promptByRevision = new TreeMap<>();
    private final Map<CachedPrefix, Long> revisionByCachedPrefix = new HashMap<>();

    /** The revision of the latest announcement; 0 if there has been none. */
    private long latestRevision;

    /** A prompt prefix cached at an upstream. */
    private record CachedPrefix(long prefixHash, int upstreamKey) {
        static CachedPrefix of(CachedPrompt cached) {
            return new CachedPrefix(cached.prefixHash, cached.upstreamKey);
        }
    }

    /**
     * Clears the log. Called when this node becomes primary. Balancers keep the announcements that
     * they received from earlier primaries.
     */
    void clear() {
        promptByRevision.clear();
        revisionByCachedPrefix.clear();
        latestRevision = 0;
    }

    /** Adds announcements to the log. */
    void record(List<CachedPrompt> announced) {
        for (CachedPrompt cached : announced) {
            latestRevision++;
            Long previous = revisionByCachedPrefix.put(CachedPrefix.of(cached), latestRevision);
            if (previous != null) {
                promptByRevision.remove(previous);
            }
            promptByRevision.put(latestRevision, cached);
        }
        while (promptByRevision.size() > MAX_ANNOUNCEMENTS) {
            CachedPrompt oldest = promptByRevision.pollFirstEntry().getValue();
            revisionByCachedPrefix.remove(CachedPrefix.of(oldest));
        }
    }

    /**
     * Adds to a response the announcements after a revision, oldest first, as many as fit, and the
     * revision after which the balancer's next request continues.
     *
     * @param knownRevision the revision up to which the balancer has received the announcements; 0
     *     if it has received none in this epoch
     */
    void addChangesSince(FleetLoads response, long knownRevision) {
        response.promptRevision = Math.min(knownRevision, latestRevision);
        response.cachedPrompts = new ArrayList<>();
        for (Map.Entry<Long, CachedPrompt> entry :
                promptByRevision.tailMap(knownRevision, false).entrySet()) {
            if (response.cachedPrompts.size() == MAX_ANNOUNCEMENTS_IN_RESPONSE) {
                return;
            }
            response.cachedPrompts.add(entry.getValue());
            response.promptRevision = entry.getKey();
        }
    }
}
