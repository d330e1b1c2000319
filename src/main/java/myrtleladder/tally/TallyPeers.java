package myrtleladder.tally;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The other nodes that this one exchanges additions with, by address: a node that comes back with
 * an empty disk takes the place of the one before. Confined to the event loop.
 */
final class TallyPeers {
    /** Time after which a silent peer that nobody names is forgotten, in milliseconds. */
    private static final long FORGET_AFTER_MS = 60_000;

    private final String ownAddress;
    private final Map<String, TallyPeer> peerByAddress = new LinkedHashMap<>();

    TallyPeers(String ownAddress) {
        this.ownAddress = ownAddress;
    }

    /**
     * Adds the peers at these addresses and forgets those that are neither among them nor in
     * contact.
     *
     * @return the peers that are new
     */
    List<TallyPeer> update(Collection<String> addresses, long nowMs) {
        peerByAddress
                .values()
                .removeIf(
                        peer ->
                                !addresses.contains(peer.address())
                                        && nowMs - peer.lastContactMs() > FORGET_AFTER_MS);
        List<TallyPeer> added = new ArrayList<>();
        for (String address : addresses) {
            if (isNew(address)) {
                added.add(add(address, nowMs));
            }
        }
        return added;
    }

    /** Returns whether there is no peer at an address yet and there may be one. */
    boolean isNew(String address) {
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

    /** Returns whether a peer has not been forgotten. */
    boolean contains(TallyPeer peer) {
        return peerByAddress.get(peer.address()) == peer;
    }

    /** Returns all peers. */
    Collection<TallyPeer> all() {
        return peerByAddress.values();
    }

    /** Returns the peers that answer. */
    List<TallyPeer> reachable() {
        return peerByAddress.values().stream().filter(TallyPeer::isReachable).toList();
    }
}
