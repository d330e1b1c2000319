package myrtleladder.dataplane;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Models which prompt prefixes an upstream caches. The model consists of the segments that this
 * balancer sent there, as an LRU cache of the upstream's capacity, and of the prefixes that this
 * and other balancers announced. Confined to the event loop; belongs to one {@link Upstream}.
 */
final class PrefixCacheModel {
    /** Time for which a prefix is assumed to stay cached. */
    private static final long CACHE_TTL_MS = 90_000;

    /** Maximum number of announced prefixes; the oldest announcements are dropped first. */
    private static final int MAX_ANNOUNCED_PREFIXES = 4_096;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    /** Segments by the hash of the prefix that ends with them, least recently used first. */
    private final LinkedHashMap<Long, Segment> sentSegments = new LinkedHashMap<>(64, 0.75f, true);

    /** Times of the last announcement by prefix hash, oldest first. */
    private final LinkedHashMap<Long, Long> announcedAtMsByPrefix = new LinkedHashMap<>();

    private final long capacityTokens;
    private long sentTokens;

    private record Segment(int tokens, long sentAtMs) {}

    /** Creates an empty model of a cache with the given capacity. */
    PrefixCacheModel(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Records that a prompt was sent and evicts the least recently used segments over capacity. */
    void recordSent(PromptSegments prompt, long nowMs) {
        for (int i = 0; i < prompt.segmentCount(); i++) {
            Segment segment = new Segment(prompt.tokens(i), nowMs);
            Segment previous = sentSegments.put(prompt.prefixHash(i), segment);
            sentTokens += segment.tokens() - (previous == null ? 0 : previous.tokens());
        }
        while (sentTokens > capacityTokens && !sentSegments.isEmpty()) {
            Map.Entry<Long, Segment> oldest = sentSegments.entrySet().iterator().next();
            sentTokens -= oldest.getValue().tokens();
            sentSegments.remove(oldest.getKey());
        }
    }

    /** Records that a balancer announced a prefix. */
    void recordAnnounced(long prefixHash, long nowMs) {
        announcedAtMsByPrefix.remove(prefixHash); // moves it to the end of the insertion order
        announcedAtMsByPrefix.put(prefixHash, nowMs);
        while (announcedAtMsByPrefix.size() > MAX_ANNOUNCED_PREFIXES) {
            announcedAtMsByPrefix.remove(announcedAtMsByPrefix.keySet().iterator().next());
        }
    }

    /** Time of the last announcement of a prefix by any balancer; far in the past if none. */
    long lastAnnouncedAtMs(long prefixHash) {
        return announcedAtMsByPrefix.getOrDefault(prefixHash, NEVER_MS);
    }

    /** Number of leading prompt tokens that are expected to be cached at the upstream. */
    int cachedTokens(PromptSegments prompt, long nowMs) {
        return Math.max(sentTokensOf(prompt, nowMs), announcedTokensOf(prompt, nowMs));
    }

    /** Tokens of the longest announced prefix; shorter prefixes need not be announced as well. */
    private int announcedTokensOf(PromptSegments prompt, long nowMs) {
        int prefixTokens = 0;
        int cachedTokens = 0;
        for (int i = 0; i < prompt.segmentCount(); i++) {
            prefixTokens += prompt.tokens(i);
            if (nowMs - lastAnnouncedAtMs(prompt.prefixHash(i)) <= CACHE_TTL_MS) {
                cachedTokens = prefixTokens;
            }
        }
        return cachedTokens;
    }

    /** Tokens of the leading segments that were sent and have not expired or been evicted. */
    private int sentTokensOf(PromptSegments prompt, long nowMs) {
        int cachedTokens = 0;
        for (int i = 0; i < prompt.segmentCount(); i++) {
            Segment segment = sentSegments.get(prompt.prefixHash(i));
            if (segment == null || nowMs - segment.sentAtMs() > CACHE_TTL_MS) {
                break;
            }
            cachedTokens += prompt.tokens(i);
        }
        return cachedTokens;
    }

    /** Removes the segments that this balancer sent; announced prefixes remain. */
    void clearSent() {
        sentSegments.clear();
        sentTokens = 0;
    }
}
