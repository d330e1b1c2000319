package yewyoke.dataplane;

import java.util.LinkedHashMap;
import java.util.Map;

/** What parts of prompts an upstream was sent lately, as far as its memory reaches. */
final class PrefixMemory {
    private static final long KEPT = 90_000;

    private final LinkedHashMap<Long, Kept> parts = new LinkedHashMap<>(64, 0.75f, true);
    private final long mostTokens;
    private long tokens;

    private record Kept(int tokens, long at) {}

    PrefixMemory(long mostTokens) {
        this.mostTokens = mostTokens;
    }

    void sent(PromptParts prompt, long now) {
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

    /** Tokens of the prompt that need not be read again. */
    int kept(PromptParts prompt, long now) {
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
