package myrtleladder.dataplane;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What parts of prompts an upstream was sent lately, as far as its memory reaches: by this balancer
 * part by part, by others as far as they told it.
 */
final class PrefixCacheModel {
    private static final long KEPT = 90_000;
    private static final int MOST_TOLD = 4_096;

    private final LinkedHashMap<Long, Kept> parts = new LinkedHashMap<>(64, 0.75f, true);
    private final LinkedHashMap<Long, Long> told = new LinkedHashMap<>();
    private final long mostTokens;
    private long tokens;

    private record Kept(int tokens, long at) {}

    PrefixCacheModel(long mostTokens) {
        this.mostTokens = mostTokens;
    }

    void sent(PromptSegments prompt, long now) {
        for (int i = 0; i < prompt.chain().length; i++) {
            Kept before = parts.put(prompt.chain()[i], new Kept(prompt.tokens()[i], now));
            tokens += prompt.tokens()[i] - (before == null ? 0 : before.tokens());
        }
        while (tokens > mostTokens && !parts.isEmpty()) {
            Map.Entry<Long, Kept> oldest = parts.entrySet().iterator().next();
            tokens -= oldest.getValue().tokens();
            parts.remove(oldest.getKey());
        }
    }

    /** Somebody sent a prompt that begins so. */
    void told(long beginning, long now) {
        told.remove(beginning); // the newest stand last
        told.put(beginning, now);
        while (told.size() > MOST_TOLD) {
            told.remove(told.keySet().iterator().next());
        }
    }

    /** When a prompt that begins so was told last, at the latest by this balancer. */
    long lastAnnouncedAtMs(long beginning) {
        return told.getOrDefault(beginning, Long.MIN_VALUE / 2);
    }

    /** Tokens of the prompt that need not be read again. */
    int kept(PromptSegments prompt, long now) {
        return Math.max(keptOfOwn(prompt, now), keptAsTold(prompt, now));
    }

    private int keptAsTold(PromptSegments prompt, long now) {
        int sum = 0;
        int most = 0;
        for (int i = 0; i < prompt.chain().length; i++) {
            sum += prompt.tokens()[i];
            most = now - lastAnnouncedAtMs(prompt.chain()[i]) <= KEPT ? sum : most;
        }
        return most;
    }

    private int keptOfOwn(PromptSegments prompt, long now) {
        int sum = 0;
        for (int i = 0; i < prompt.chain().length; i++) {
            Kept part = parts.get(prompt.chain()[i]);
            if (part == null || now - part.at() > KEPT) {
                break;
            }
            sum += prompt.tokens()[i];
        }
        return sum;
    }

    void clear() {
        parts.clear();
        tokens = 0;
    }
}
