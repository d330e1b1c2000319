package myrtleladder.protocol;

/**
 * A prompt prefix that was sent to an upstream, which therefore has it in its cache. Part of {@link
 * LoadReport} and {@link FleetLoads}.
 */
public final class CachedPrompt {
    /** Hash of the prefix, chained over its parts. */
    public long prefixHash;

    /** Key of the upstream, see {@link UpstreamLoad#keyOf}. */
    public int upstreamKey;

    /** Creates a message with these fields. */
    public static CachedPrompt of(long prefixHash, int upstreamKey) {
        CachedPrompt made = new CachedPrompt();
        made.prefixHash = prefixHash;
        made.upstreamKey = upstreamKey;
        return made;
    }
}
