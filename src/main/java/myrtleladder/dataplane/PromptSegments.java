package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.List;

/**
 * The segments of a prompt in order, as the header field {@link HeaderNames#PROMPT_PREFIX} lists
 * them. Each is identified by the hash of the prefix that it ends, which is all segments up to it:
 * an upstream can use a cached segment only if all before it are cached too. Callers must not
 * change the arrays.
 *
 * @param prefixHashes for each segment the hash of the prefix that it ends
 * @param segmentTokens for each segment its number of tokens
 */
record PromptSegments(long[] prefixHashes, int[] segmentTokens) {
    /** A prompt without segments, as of requests to services without a model. */
    static final PromptSegments NONE = new PromptSegments(new long[0], new int[0]);

    /** Reads ID:TOKENS separated by commas; what cannot be read ends the list. */
    static PromptSegments parse(String text) {
        if (text == null || text.isEmpty()) {
            return NONE;
        }
        List<long[]> hashesAndTokens = new ArrayList<>();
        long prefixHash = 0;
        for (String segment : text.split(",")) {
            int colon = segment.indexOf(':');
            if (colon <= 0) {
                break;
            }
            int tokens;
            try {
                tokens = Integer.parseInt(segment.substring(colon + 1).trim());
            } catch (NumberFormatException e) {
                break;
            }
            String id = segment.substring(0, colon).trim();
            prefixHash = StableHash.mix(prefixHash ^ StableHash.of(id));
            hashesAndTokens.add(new long[] {prefixHash, Math.max(0, tokens)});
        }
        return of(hashesAndTokens);
    }

    private static PromptSegments of(List<long[]> hashesAndTokens) {
        long[] prefixHashes = new long[hashesAndTokens.size()];
        int[] segmentTokens = new int[hashesAndTokens.size()];
        for (int i = 0; i < prefixHashes.length; i++) {
            prefixHashes[i] = hashesAndTokens.get(i)[0];
            segmentTokens[i] = (int) hashesAndTokens.get(i)[1];
        }
        return new PromptSegments(prefixHashes, segmentTokens);
    }

    /** The number of segments. */
    int count() {
        return prefixHashes.length;
    }

    /** The hash of the prefix that a segment ends. */
    long prefixHash(int index) {
        return prefixHashes[index];
    }

    /** Tokens of one segment. */
    int tokens(int index) {
        return segmentTokens[index];
    }

    /** Tokens of all segments. */
    int totalTokens() {
        int sum = 0;
        for (int tokens : segmentTokens) {
            sum += tokens;
        }
        return sum;
    }

    /** Tokens of the shared prefix. */
    int sharedTokens() {
        return count() == 0 ? 0 : totalTokens() - segmentTokens[count() - 1];
    }

    /**
     * The hash of the shared prefix, which requests of one subject or session have in common: all
     * segments but the last, or the only one; 0 without segments.
     */
    long sharedPrefixHash() {
        return count() == 0 ? 0 : prefixHashes[Math.max(0, count() - 2)];
    }
}
