package myrtleladder.loadbalancer.policy;

import java.util.List;

/**
 * Exchanges the load in flight at an upstream between the balancers that share it. A message has
 * three bytes that identify the upstream and one byte with the load in eighths of a request.
 */
final class PeerLoadExchange {
    /** Length of a message: three bytes for the upstream, one for the load. */
    static final int MESSAGE_BYTES = 4;

    /** Messages carry the load in this fraction of a request. */
    static final double UNITS_PER_REQUEST = 8;

    private static final int BYTE_MASK = 255;
    private static final int MAX_UNITS = 255;

    private final boolean isEnabled;
    private final int groupSize;
    private final UpstreamTable upstreams;
    private final RendezvousSubsetting subsetting;
    private final LoadEstimator loads;
    private final LoadBalancer.Actions actions;

    PeerLoadExchange(
            Settings settings,
            LoadVisibility visibility,
            UpstreamTable upstreams,
            RendezvousSubsetting subsetting,
            LoadEstimator loads,
            LoadBalancer.Actions actions) {
        this.isEnabled = visibility.byPeers();
        this.groupSize = settings.groupSize();
        this.upstreams = upstreams;
        this.subsetting = subsetting;
        this.loads = loads;
        this.actions = actions;
    }

    /** Reports this balancer's load at an upstream to the peers that share it. */
    void report(UpstreamState upstream) {
        if (!isEnabled || !upstreams.contains(upstream)) {
            return;
        }
        if (upstream.sharingPeers == null) {
            upstream.sharingPeers = subsetting.peersSharing(upstream);
        }
        byte[] body = encode(upstream.hash, loads.ownLoad(upstream));
        List<Integer> peers = upstream.sharingPeers;
        for (int i = 0; i < peers.size(); i++) {
            actions.sendToPeer(peers.get(i), body);
        }
    }

    private static byte[] encode(int hash, double load) {
        byte units = (byte) Math.min(MAX_UNITS, Math.round(load * UNITS_PER_REQUEST));
        return new byte[] {(byte) (hash >> 16), (byte) (hash >> 8), (byte) hash, units};
    }

    /** Records a message. Ignores it if it is malformed or its upstream is unknown. */
    void receive(int from, byte[] body, long nowUs) {
        if (!isEnabled || body.length != MESSAGE_BYTES || from < 0 || from >= groupSize) {
            return;
        }
        int hash = (body[0] & BYTE_MASK) << 16 | (body[1] & BYTE_MASK) << 8 | (body[2] & BYTE_MASK);
        UpstreamState upstream = upstreams.byHash(hash);
        if (upstream != null) {
            upstream.peerLoads.put(from, new PeerLoad(nowUs, body[3] & BYTE_MASK));
        }
    }
}
