package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * All that one balancer has under way, and what upstreams keep by what it sent them. Each report
 * replaces the one before, so one that arrives twice counts once.
 */
public final class LoadReport {
    /** The balancer's name. */
    public String balancer = "";

    /** Differs between two processes that have one name. */
    public long processId;

    /** Rises with each report of a process. */
    public long sequence;

    /** The upstreams at which it has something under way. */
    public List<UpstreamLoad> loads = new ArrayList<>();

    /** Beginnings of prompts that it sent to upstreams and has not told yet. */
    public List<CachedPrompt> cachedPrompts = new ArrayList<>();

    /** The epoch of the last answer. */
    public long epoch;

    /** How far it knows the others' beginnings, within that epoch. */
    public long promptRevision;
}
