package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;

/**
 * Which upstream keeps which shared beginning of prompts, as the balancers announced it: a log in
 * which each announcement has a revision, so that each balancer is told what is new to it. What is
 * announced again moves to the end and counts once.
 */
final class PromptDirectory {
    private static final int MOST_KEPT = 8_192;
    private static final int MOST_TOLD = 128; // bounds the bytes of an answer

    private final TreeMap<Long, CachedPrompt> byRevision = new TreeMap<>();
    private final Map<Place, Long> revisions = new HashMap<>();
    private long revision;

    private record Place(long prompt, int upstream) {
        static Place of(CachedPrompt kept) {
            return new Place(kept.prefixHash, kept.upstreamKey);
        }
    }

    /** Begins anew: the balancers keep what they were told by another primary. */
    void clear() {
        byRevision.clear();
        revisions.clear();
        revision = 0;
    }

    /** Takes announcements. */
    void take(List<CachedPrompt> announced) {
        for (CachedPrompt kept : announced) {
            Long before = revisions.put(Place.of(kept), ++revision);
            if (before != null) {
                byRevision.remove(before);
            }
            byRevision.put(revision, kept);
        }
        while (byRevision.size() > MOST_KEPT) {
            revisions.remove(Place.of(byRevision.pollFirstEntry().getValue()));
        }
    }

    /** Adds to an answer what came after a revision, the oldest first, and how far that goes. */
    void tell(FleetLoads answer, long known) {
        answer.promptRevision = Math.min(known, revision);
        answer.cachedPrompts = new ArrayList<>();
        for (Map.Entry<Long, CachedPrompt> entry : byRevision.tailMap(known, false).entrySet()) {
            if (answer.cachedPrompts.size() == MOST_TOLD) {
                return;
            }
            answer.cachedPrompts.add(entry.getValue());
            answer.promptRevision = entry.getKey();
        }
    }
}
