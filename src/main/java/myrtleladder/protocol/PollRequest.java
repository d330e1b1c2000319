package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/** A balancer asks for all that is newer than what it has; the answer may wait for news. */
public final class PollRequest implements Message {
    /** The balancer's incarnation. */
    public String balancer = "";

    /** Host and port at which others of the fleet reach it. */
    public String address = "";

    /** Balancers that it monitors and hears. */
    public List<String> liveBalancers = new ArrayList<>();

    /** The revision of the list of balancers that it has, within the epoch. */
    public long balancerListRevision;

    /** Whether it is about to end. */
    public boolean leaving;

    /** The epoch of the last answer, 0 before the first. */
    public long epoch;

    /** The number of the configuration in force, 0 for none. */
    public long generation;

    /** The revision of the upstreams, within the epoch. */
    public long instanceRevision;

    /** Whether the balancer has had a complete list within the epoch. */
    public boolean hasAuthoritativeList;

    /** How many balancers there are as far as it knows. */
    public int balancerCount;

    /** What it has under way at upstreams that leave. */
    public List<InFlightRequests> inFlightAtDraining = new ArrayList<>();

    /** Whether news are wanted at once, even if there are none. */
    public boolean immediate;

    /** What the balancer has under way, null if it does not say. */
    public LoadReport loadReport;
}
