package myrtleladder.protocol;

/** What is under way at an upstream. */
public final class UpstreamLoad {
    private static final int POSITIVE = 0x7fffffff;

    /** The upstream's incarnation, see {@link #keyOf}. */
    public int upstream;

    /** Requests that were sent there and have not ended. */
    public int requests;

    /** Prompt tokens of those whose answers have not begun. */
    public int tokens;

    /** Creates a load from its parts. */
    public static UpstreamLoad of(int upstream, int requests, int tokens) {
        UpstreamLoad made = new UpstreamLoad();
        made.upstream = upstream;
        made.requests = requests;
        made.tokens = tokens;
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
