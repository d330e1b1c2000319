package myrtleladder.protocol;

/** Requests in flight at one upstream. Part of {@link LoadReport} and {@link FleetLoads}. */
public final class UpstreamLoad {
    private static final int POSITIVE = 0x7fffffff;

    /** Key of the incarnation of the upstream, see {@link #keyOf}. */
    public int upstreamKey;

    /** Requests that were sent there and have not ended. */
    public int inFlightRequests;

    /** Prompt tokens of those whose answers have not begun. */
    public int pendingPromptTokens;

    /** Creates a load from its parts. */
    public static UpstreamLoad of(int upstreamKey, int inFlightRequests, int pendingPromptTokens) {
        UpstreamLoad made = new UpstreamLoad();
        made.upstreamKey = upstreamKey;
        made.inFlightRequests = inFlightRequests;
        made.pendingPromptTokens = pendingPromptTokens;
        return made;
    }

    /**
     * A number for an incarnation's id that is short on the wire. Two incarnations with one number
     * would be told each other's load, which costs an uneven pick and nothing else.
     */
    public static int keyOf(String id) {
        int hash = id.hashCode() * 0x9E3779B1;
        return (hash ^ hash >>> 15) & POSITIVE;
    }
}
