package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * Sent by a balancer to the primary as a long poll: asks for all that is newer than what the
 * balancer has, and reports its state.
 *
 * <p>The primary answers at once when there is something newer, else after a delay. A node that is
 * not primary answers at once with the addresses at which to ask. Answered by {@link PollResponse}.
 */
public final class PollRequest implements Message {
    /** Name of the balancer. */
    public String balancer = "";

    /** Host and port at which other balancers reach it. */
    public String address = "";

    /** Names of the balancers that it monitors and whose heartbeats arrive. */
    public List<String> liveBalancers = new ArrayList<>();

    /** Revision of the list of balancers that it has, within the epoch. */
    public long balancerListRevision;

    /** Whether the balancer is about to stop. */
    public boolean leaving;

    /** Epoch of the last response, 0 before the first. */
    public long epoch;

    /** Generation of the configuration that it applies, 0 for none. */
    public long generation;

    /** Revision of the upstream records that it has, within the epoch. */
    public long instanceRevision;

    /** Whether it got an authoritative list of upstreams within the epoch. */
    public boolean hasAuthoritativeList;

    /** Number of balancers as far as it knows. */
    public int balancerCount;

    /** Requests that it has in flight at draining upstreams. */
    public List<InFlightRequests> inFlightAtDraining = new ArrayList<>();

    /** Whether the response shall be sent at once, even if there is nothing newer. */
    public boolean immediate;

    /** Load of the balancer, null if it does not report it. */
    public LoadReport loadReport;

    /** The drained zones that the balancer has, null if it does not heed them. */
    public DrainedZones drainedZones;

    /** True if a node that is not primary is to pass the poll on; null otherwise. */
    public Boolean relayWanted;
}
