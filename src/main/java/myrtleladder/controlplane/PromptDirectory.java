package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;

/**
 * Which upstream has cached which shared prompt prefix, as the balancers announced it: a compacted
 * log in which each announcement has a revision, so that each balancer gets what is new to it. What
 * is announced again moves to the end of the log and counts once.
 *
 * <p>Invariant: both maps hold the same announcements. Confined to the event loop.
 */
final class PromptDirectory {
    /** The most announcements in the log; the oldest are dropped. Bounds the memory. */
    private static final int MAX_ANNOUNCEMENTS = 8_192;

    /** The most announcements in a response: bounds its bytes. */
    private static final int MAX_PROMPTS_IN_RESPONSE = 128;

    private final TreeMap<Long, CachedPrompt> promptByRevision = new TreeMap<>();
    private final Map<Location, Long> revisionByLocation = new HashMap<>();
    private long revision;

    /** A prompt prefix at an upstream. */
    private record Location(long prompt, int upstream) {
        static Location of(CachedPrompt cached) {
            return new Location(cached.prefixHash, cached.upstreamKey);
        }
    }

    /** Starts anew: the balancers keep what they learned from another primary. */
    void clear() {
        promptByRevision.clear();
        revisionByLocation.clear();
        revision = 0;
    }

    /** Records announcements. */
    void record(List<CachedPrompt> announced) {
        for (CachedPrompt cached : announced) {
            revision++;
            Long previous = revisionByLocation.put(Location.of(cached), revision);
            if (previous != null) {
                promptByRevision.remove(previous);
            }
            promptByRevision.put(revision, cached);
        }
        while (promptByRevision.size() > MAX_ANNOUNCEMENTS) {
            CachedPrompt oldest = promptByRevision.pollFirstEntry().getValue();
            revisionByLocation.remove(Location.of(oldest));
        }
    }

    /**
     * Adds to a response the announcements after a revision, the oldest first, and the revision up
     * to which the balancer has all with this response.
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
