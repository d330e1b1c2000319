package myrtleladder.tally;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The other nodes with which this node exchanges additions, by address. A node that returns with an
 * empty disk keeps its entry. Confined to the event loop.
 */
final class TallyPeers {
    /** Time without a response after which a peer that is no longer listed is removed. */
    private static final long REMOVE_AFTER_MS = 60_000;

    private final String ownAddress;
    private final Map<String, TallyPeer> peerByAddress = new LinkedHashMap<>();

    TallyPeers(String ownAddress) {
        this.ownAddress = ownAddress;
    }

    /**
     * Adds peers for these addresses and removes those that are not listed and have not responded
     * for {@link #REMOVE_AFTER_MS}.
     *
     * @return the peers that were added
     */
    List<TallyPeer> update(Collection<String> addresses, long nowMs) {
        peerByAddress
                .values()
                .removeIf(
                        peer ->
                                !addresses.contains(peer.address())
                                        && nowMs - peer.lastContactMs() > REMOVE_AFTER_MS);
        List<TallyPeer> added = new ArrayList<>();
        for (String address : addresses) {
            if (isUnknownPeer(address)) {
                added.add(add(address, nowMs));
            }
        }
        return added;
    }

    /** Returns whether an address is not this node's own and has no peer yet. */
    boolean isUnknownPeer(String address) {
        return !address.equals(ownAddress) && !peerByAddress.containsKey(address);
    }

    /** Adds a peer. */
    TallyPeer add(String address, long nowMs) {
        TallyPeer peer = new TallyPeer(address, nowMs);
        peerByAddress.put(address, peer);
        return peer;
    }

    /** Returns the peer at an address, null if there is none. */
    TallyPeer get(String address) {
        return peerByAddress.get(address);
    }

    /** Returns whether a peer is registered, that is, has not been removed. */
    boolean contains(TallyPeer peer) {
        return peerByAddress.get(peer.address()) == peer;
    }

    /** Returns all peers. */
    Collection<TallyPeer> all() {
        return peerByAddress.values();
    }

    /** Returns the reachable peers. */
    List<TallyPeer> reachable() {
        return peerByAddress.values().stream().filter(TallyPeer::isReachable).toList();
    }
}
