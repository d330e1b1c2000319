package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.List;

/**
 * The segments of a prompt in the order of the header field {@link HeaderNames#PROMPT_PREFIX}. A
 * segment is identified by the hash of the prefix that ends with it, because an upstream can use a
 * cached segment only if all earlier segments are cached too. Callers must not modify the arrays.
 *
 * @param prefixHashes for each segment, the hash of all segments up to and including it
 * @param segmentTokens for each segment, its number of tokens
 */
record PromptSegments(long[] prefixHashes, int[] segmentTokens) {
    /** A prompt without segments, used for requests to services without a model engine. */
    static final PromptSegments NONE = new PromptSegments(new long[0], new int[0]);

    /**
     * Parses ID:TOKENS pairs separated by commas. Parsing stops at the first invalid pair; the
     * pairs before it are returned.
     *
     * @param text null if the request has no such field
     */
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

    /** Number of segments. */
    int segmentCount() {
        return prefixHashes.length;
    }

    /** Hash of the prefix that ends with the segment at this index. */
    long prefixHash(int index) {
        return prefixHashes[index];
    }

    /** Number of tokens of one segment. */
    int tokens(int index) {
        return segmentTokens[index];
    }

    /** Number of tokens of all segments. */
    int totalTokens() {
        int sum = 0;
        for (int tokens : segmentTokens) {
            sum += tokens;
        }
        return sum;
    }

    /** Number of tokens of all segments but the last; 0 without segments. */
    int sharedPrefixTokens() {
        return segmentCount() == 0 ? 0 : totalTokens() - segmentTokens[segmentCount() - 1];
    }

    /**
     * Hash of the prefix that requests of one subject or session have in common: all segments but
     * the last, or the only segment; 0 without segments.
     */
    long sharedPrefixHash() {
        return segmentCount() == 0 ? 0 : prefixHashes[Math.max(0, segmentCount() - 2)];
    }
}
