package myrtleladder.protocol;

/** A shared beginning of prompts that an upstream was sent and so keeps. */
public final class CachedPrompt {
    /** A hash of the beginning, part by part. */
    public long prompt;

    /** The upstream, see {@link UpstreamLoad#keyOf}. */
    public int upstream;

    /** Creates a message from its parts. */
    public static CachedPrompt of(long prompt, int upstream) {
        CachedPrompt made = new CachedPrompt();
        made.prompt = prompt;
        made.upstream = upstream;
        return made;
    }
}
