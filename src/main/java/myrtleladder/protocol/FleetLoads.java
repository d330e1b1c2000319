package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/** What a balancer is told of all others: what they have under way, and what upstreams keep. */
public final class FleetLoads {
    /** The epoch of the primary that tells it. */
    public long epoch;

    /** Whether {@code loads} are known; right after a new primary began they are not. */
    public boolean loadsKnown;

    /** The upstreams at which others have something under way; what is not named is idle. */
    public List<UpstreamLoad> loads = new ArrayList<>();

    /** Beginnings of prompts that upstreams keep, as far as they are new to the balancer. */
    public List<CachedPrompt> cachedPrompts = new ArrayList<>();

    /** How far the balancer knows them with this answer, within the epoch. */
    public long promptRevision;
}
