package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;

/**
 * The shared prompt prefixes that upstreams have cached, as announced by the balancers. It is a
 * compacted log in which each announcement has a revision, so that each balancer only receives new
 * announcements. A repeated announcement moves to the end of the log instead of being stored twice.
 *
 * <p>Invariant: both maps contain the same announcements. Confined to the event loop.
 */
final class PromptDirectory {
    /** Maximum number of announcements in the log; the oldest are dropped. Bounds the memory. */
    private static final int MAX_ANNOUNCEMENTS = 8_192;

    /** Maximum number of announcements in a response. Bounds its size. */
    private static final int MAX_PROMPTS_IN_RESPONSE = 128;

    private final TreeMap<Long, CachedPrompt> promptByRevision = new TreeMap<>();
    private final Map<CachedPrefix, Long> revisionByCachedPrefix = new HashMap<>();
    private long revision;

    /** A prompt prefix cached at an upstream. */
    private record CachedPrefix(long prefixHash, int upstreamKey) {
        static CachedPrefix of(CachedPrompt cached) {
            return new CachedPrefix(cached.prefixHash, cached.upstreamKey);
        }
    }

    /**
     * Clears the log, when this node becomes primary. Balancers keep the announcements that they
     * received from earlier primaries.
     */
    void clear() {
        promptByRevision.clear();
        revisionByCachedPrefix.clear();
        revision = 0;
    }

    /** Adds announcements to the log. */
    void record(List<CachedPrompt> announced) {
        for (CachedPrompt cached : announced) {
            revision++;
            Long previous = revisionByCachedPrefix.put(CachedPrefix.of(cached), revision);
            if (previous != null) {
                promptByRevision.remove(previous);
            }
            promptByRevision.put(revision, cached);
        }
        while (promptByRevision.size() > MAX_ANNOUNCEMENTS) {
            CachedPrompt oldest = promptByRevision.pollFirstEntry().getValue();
            revisionByCachedPrefix.remove(CachedPrefix.of(oldest));
        }
    }

    /**
     * Adds to a response the announcements after a revision, oldest first, and the revision up to
     * which the balancer has all announcements once it has received the response.
     */
    void addChangesSince(FleetLoads response, long knownRevision) {
        response.promptRevision = Math.min(knownRevision, revision);
        response.cachedPrompts = new ArrayList<>();
        for (Map.Entry<Long, CachedPrompt> entry :
                promptByRevision.tailMap(knownRevision, false).entrySet()) {
            if (response.cachedPrompts.size() == MAX_PROMPTS_IN_RESPONSE) {
                return;
            }
            response.cachedPrompts.add(entry.getValue());
            response.promptRevision = entry.getKey();
        }
    }
}
