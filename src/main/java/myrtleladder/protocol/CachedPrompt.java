package myrtleladder.protocol;

/** A shared beginning of prompts that an upstream was sent and so keeps. */
public final class CachedPrompt {
    /** A hash of the beginning, part by part. */
    public long prefixHash;

    /** The upstream, see {@link UpstreamLoad#keyOf}. */
    public int upstreamKey;

    /** Creates a message from its parts. */
    public static CachedPrompt of(long prefixHash, int upstreamKey) {
        CachedPrompt made = new CachedPrompt();
        made.prefixHash = prefixHash;
        made.upstreamKey = upstreamKey;
        return made;
    }
}
