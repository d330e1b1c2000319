package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * The load that all other balancers report, and the prompt prefixes that upstreams have in their
 * cache. Sent by the primary to a balancer, in answer to its {@link LoadReport}.
 */
public final class FleetLoads {
    /** Epoch of the sending primary. */
    public long epoch;

    /** Whether {@code loads} are known; they are not right after a new primary began. */
    public boolean loadsKnown;

    /**
     * Load of upstreams with requests of other balancers; an upstream that is not listed is idle.
     */
    public List<UpstreamLoad> loads = new ArrayList<>();

    /** Cached prompt prefixes that are new to the balancer. */
    public List<CachedPrompt> cachedPrompts = new ArrayList<>();

    /**
     * Revision of the prompt directory that the balancer has with this response, within the epoch.
     */
    public long promptRevision;
}
