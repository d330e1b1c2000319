package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/** The answer to a {@link PollRequest}. */
public final class PollResponse implements Message {
    /**
     * Whether the answering node is primary; if not, only {@code controlNodeAddresses}, {@code
     * primaryAddress} and {@code epoch} are told.
     */
    public boolean fromPrimary;

    /** The primary's address, empty if unknown. */
    public String primaryAddress = "";

    /** Addresses of all control nodes. */
    public List<String> controlNodeAddresses = new ArrayList<>();

    /** The epoch; of a node that is not primary, the latest that it knows. */
    public long epoch;

    /** The number of the configuration. */
    public long generation;

    /** The document, compressed; empty if the balancer has it. */
    public byte[] document = {};

    /** The revision of the upstreams. */
    public long instanceRevision;

    /** Whether {@code instances} are all rather than changes. */
    public boolean fullInstanceList;

    /** Whether upstreams that are not known to this node can be taken for gone. */
    public boolean authoritative;

    /** Upstreams, all or those that changed. */
    public List<InstanceRecord> instances = new ArrayList<>();

    /** The revision of the list of balancers. */
    public long balancerListRevision;

    /** The balancers, empty if the asking one has them. */
    public List<BalancerAddress> balancerList = new ArrayList<>();

    /** How many balancers there are. */
    public int balancerCount;

    /** What the other balancers have under way, null if that is not known. */
    public FleetLoads fleetLoads;
}
