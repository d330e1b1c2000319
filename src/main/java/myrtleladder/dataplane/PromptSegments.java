package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.List;

/**
 * The parts of a prompt as a request lists them, in order. {@code chain} has, for each part, a hash
 * of it and all parts before it: an upstream can use what it keeps of a part only if it keeps all
 * before it.
 */
record PromptSegments(long[] chain, int[] tokens) {
    static final PromptSegments NONE = new PromptSegments(new long[0], new int[0]);

    /** Reads ID:TOKENS separated by commas; what can't be read ends the list. */
    static PromptSegments parse(String text) {
        if (text == null || text.isEmpty()) {
            return NONE;
        }
        List<long[]> parts = new ArrayList<>();
        long hash = 0;
        for (String part : text.split(",")) {
            int colon = part.indexOf(':');
            if (colon <= 0) {
                break;
            }
            int tokens;
            try {
                tokens = Integer.parseInt(part.substring(colon + 1).trim());
            } catch (NumberFormatException e) {
                break;
            }
            hash = StableHash.mix(hash ^ StableHash.of(part.substring(0, colon).trim()));
            parts.add(new long[] {hash, Math.max(0, tokens)});
        }
        long[] chain = new long[parts.size()];
        int[] tokens = new int[parts.size()];
        for (int i = 0; i < chain.length; i++) {
            chain[i] = parts.get(i)[0];
            tokens[i] = (int) parts.get(i)[1];
        }
        return new PromptSegments(chain, tokens);
    }

    /** Tokens of all parts. */
    int total() {
        int sum = 0;
        for (int part : tokens) {
            sum += part;
        }
        return sum;
    }

    /** Tokens of all parts but the last, which no other subject or session has. */
    int shared() {
        return tokens.length == 0 ? 0 : total() - tokens[tokens.length - 1];
    }

    /** What requests of one subject or session have in common: all parts but the last. */
    long subject() {
        return chain.length == 0 ? 0 : chain[Math.max(0, chain.length - 2)];
    }
}
