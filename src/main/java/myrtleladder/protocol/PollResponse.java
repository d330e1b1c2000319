package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * The response to a {@link PollRequest}. The balancer ignores responses of a lower epoch or an
 * older generation than it has.
 */
public final class PollResponse implements Message {
    /**
     * Whether the responding node is primary; if not, only {@code controlNodeAddresses}, {@code
     * primaryAddress} and {@code epoch} are set.
     */
    public boolean fromPrimary;

    /** Address of the primary's internal port, empty if unknown. */
    public String primaryAddress = "";

    /** Addresses of the internal ports of all control nodes. */
    public List<String> controlNodeAddresses = new ArrayList<>();

    /** Epoch of the primary; of a node that is not primary, the highest that it knows. */
    public long epoch;

    /** Generation of the configuration. */
    public long generation;

    /** The configuration as compressed JSON, empty if the balancer has this generation. */
    public byte[] document = {};

    /** Revision of the upstream records that the balancer has with this response. */
    public long instanceRevision;

    /** Whether {@code instances} are all upstreams rather than changes. */
    public boolean fullInstanceList;

    /** Whether upstreams that this node does not know can be taken for gone. */
    public boolean authoritative;

    /** Records of all upstreams or of those that changed. */
    public List<InstanceRecord> instances = new ArrayList<>();

    /** Revision of the list of balancers. */
    public long balancerListRevision;

    /** All balancers, empty if the balancer has this revision. */
    public List<BalancerAddress> balancerList = new ArrayList<>();

    /** Number of balancers. */
    public int balancerCount;

    /** Load of the other balancers, null if it is not known. */
    public FleetLoads fleetLoads;

    /** The drained zones, null if the primary does not know them. */
    public DrainedZones drainedZones;
}
