package myrtleladder.protocol;

/** A shared beginning of prompts that an upstream was sent and so keeps. */
public final class KeptPrompt {
    /** A hash of the beginning, part by part. */
    public long prompt;

    /** The upstream, see {@link UpstreamLoad#keyOf}. */
    public int upstream;

    /** Creates a message from its parts. */
    public static KeptPrompt of(long prompt, int upstream) {
        KeptPrompt made = new KeptPrompt();
        made.prompt = prompt;
        made.upstream = upstream;
        return made;
    }
}
