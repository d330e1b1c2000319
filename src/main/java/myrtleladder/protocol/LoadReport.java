package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * All that one balancer has in flight, and the prompt prefixes that it sent to upstreams. Part of
 * {@link PollRequest} and {@link QuotaRequest}; the primary answers with {@link FleetLoads}.
 *
 * <p>Each report replaces the one before, so one that arrives twice counts once.
 */
public final class LoadReport {
    /** Name of the balancer. */
    public String balancer = "";

    /** Random number of the process; tells apart two processes of one name. */
    public long processId;

    /** Sequence number of the report, rising within a process. */
    public long sequence;

    /** Load of the upstreams at which the balancer has requests in flight. */
    public List<UpstreamLoad> loads = new ArrayList<>();

    /** Prompt prefixes that it sent to upstreams and has not reported yet. */
    public List<CachedPrompt> cachedPrompts = new ArrayList<>();

    /** Epoch of the last response that the balancer got. */
    public long epoch;

    /** Revision of the prompt directory that the balancer has, within that epoch. */
    public long promptRevision;
}
