package myrtleladder.dataplane;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Models which prompt prefixes an upstream caches: by the segments that this balancer sent there,
 * as far as the upstream's memory reaches, and by the prefixes that balancers announced. Confined
 * to the event loop; belongs to one {@link Upstream}.
 */
final class PrefixCacheModel {
    /** Time for which a prefix is thought to stay cached. */
    private static final long CACHE_TTL_MS = 90_000;

    /** Most announced prefixes that are remembered, the newest. */
    private static final int MAX_ANNOUNCED = 4_096;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Segments by the hash of the prefix that they end, least recently used first. */
    private final LinkedHashMap<Long, Segment> sent = new LinkedHashMap<>(64, 0.75f, true);

    /** Times by prefix hash, the oldest first. */
    private final LinkedHashMap<Long, Long> announced = new LinkedHashMap<>();

    private final long capacityTokens;
    private long sentTokens;

    private record Segment(int tokens, long sentAtMs) {}

    /** Creates an empty model of a cache for so many tokens. */
    PrefixCacheModel(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Records that the upstream has read a prompt; the least recently used segments give way. */
    void recordSent(PromptSegments prompt, long nowMs) {
        for (int i = 0; i < prompt.count(); i++) {
            Segment segment = new Segment(prompt.tokens(i), nowMs);
            Segment before = sent.put(prompt.prefixHash(i), segment);
            sentTokens += segment.tokens() - (before == null ? 0 : before.tokens());
        }
        while (sentTokens > capacityTokens && !sent.isEmpty()) {
            Map.Entry<Long, Segment> oldest = sent.entrySet().iterator().next();
            sentTokens -= oldest.getValue().tokens();
            sent.remove(oldest.getKey());
        }
    }

    /** Records that a balancer announced a prefix. */
    void recordAnnounced(long prefixHash, long nowMs) {
        announced.remove(prefixHash); // so that it moves to the end of the order
        announced.put(prefixHash, nowMs);
        while (announced.size() > MAX_ANNOUNCED) {
            announced.remove(announced.keySet().iterator().next());
        }
    }

    /** When a prefix was announced last, by this balancer or another; far in the past if never. */
    long lastAnnouncedAtMs(long prefixHash) {
        return announced.getOrDefault(prefixHash, NEVER);
    }

    /** Tokens of the prompt that the upstream need not read again. */
    int cachedTokens(PromptSegments prompt, long nowMs) {
        return Math.max(sentTokensOf(prompt, nowMs), announcedTokensOf(prompt, nowMs));
    }

    /** Tokens of the longest announced prefix; its segments need no announcements of their own. */
    private int announcedTokensOf(PromptSegments prompt, long nowMs) {
        int prefixTokens = 0;
        int cachedTokens = 0;
        for (int i = 0; i < prompt.count(); i++) {
            prefixTokens += prompt.tokens(i);
            if (nowMs - lastAnnouncedAtMs(prompt.prefixHash(i)) <= CACHE_TTL_MS) {
                cachedTokens = prefixTokens;
            }
        }
        return cachedTokens;
    }

    /** Tokens of the leading segments that were sent and are still cached. */
    private int sentTokensOf(PromptSegments prompt, long nowMs) {
        int cachedTokens = 0;
        for (int i = 0; i < prompt.count(); i++) {
            Segment segment = sent.get(prompt.prefixHash(i));
            if (segment == null || nowMs - segment.sentAtMs() > CACHE_TTL_MS) {
                break;
            }
            cachedTokens += prompt.tokens(i);
        }
        return cachedTokens;
    }

    /** Forgets what this balancer sent; announced prefixes stay. */
    void clearSent() {
        sent.clear();
        sentTokens = 0;
    }
}
