package myrtleladder.tally;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides whether an addition is durable enough to be acknowledged: it has to be on one more disk,
 * and in one more zone, than may be lost at the same time. If this node reaches fewer nodes or
 * zones, all that it reaches suffice; an isolated node relies on its own disk. Confined to the
 * event loop.
 */
final class DurabilityRule {
    private final TallyOptions options;
    private final TallyPeers peers;
    private final DurableAdditions ownDurableAdditions;

    DurabilityRule(TallyOptions options, TallyPeers peers, DurableAdditions ownDurableAdditions) {
        this.options = options;
        this.peers = peers;
        this.ownDurableAdditions = ownDurableAdditions;
    }

    /**
     * Returns the number of disks on which an addition has to be stored if enough nodes are
     * reachable.
     */
    int requiredCopies() {
        return options.toleratedMachines() + 1;
    }

    /** Returns whether an addition is durable enough to be acknowledged. */
    boolean isSatisfied(String replica, long sequence) {
        List<TallyPeer> reachable = peers.reachable();
        Set<String> reachableZones = new HashSet<>(Set.of(options.zone()));
        Set<String> durableZones = new HashSet<>();
        int durableNodes = 0;
        if (ownDurableAdditions.durableVector().includes(replica, sequence)) {
            durableNodes++;
            durableZones.add(options.zone());
        }
        for (TallyPeer peer : reachable) {
            reachableZones.add(peer.zone());
            if (peer.durable().includes(replica, sequence)) {
                durableNodes++;
                durableZones.add(peer.zone());
            }
        }
        int requiredNodes = Math.min(requiredCopies(), 1 + reachable.size());
        int requiredZones = Math.min(options.toleratedZones() + 1, reachableZones.size());
        return durableNodes >= requiredNodes && durableZones.size() >= requiredZones;
    }
}
