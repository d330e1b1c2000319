package myrtleladder.replication;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.View;

/**
 * Chooses the control node to which the next join or leave request goes. It alternates between the
 * last known primary and one of all other nodes, as the primary may have changed. Confined to the
 * event loop.
 */
final class PeerAddressRotation {
    private final Member self;
    private final Set<String> seedAddresses;
    private int turn;

    PeerAddressRotation(Member self, Set<String> seedAddresses) {
        this.self = self;
        this.seedAddresses = seedAddresses;
    }

    /**
     * Returns the next address, empty if no other node is known.
     *
     * @param view the latest view, null if none is known; every second call returns its primary
     */
    Optional<String> next(View view) {
        List<String> others = otherAddresses(view);
        if (others.isEmpty()) {
            return Optional.empty();
        }
        int currentTurn = turn++;
        Optional<String> primaryAddress = primaryAddress(view);
        if (primaryAddress.isPresent() && currentTurn % 2 == 0) {
            return primaryAddress;
        }
        return Optional.of(others.get(currentTurn / 2 % others.size()));
    }

    /**
     * Returns the address of the view's primary unless it is this node's own address: a node that
     * lost its disk may know a view in which its former store is the primary.
     */
    private Optional<String> primaryAddress(View view) {
        return Optional.ofNullable(view)
                .map(known -> known.primary)
                .map(primary -> primary.address)
                .filter(address -> !address.equals(self.address));
    }

    /** Returns the addresses of the seeds and of the view's members, without this node's own. */
    private List<String> otherAddresses(View view) {
        Set<String> addresses = new LinkedHashSet<>(seedAddresses);
        if (view != null) {
            view.group.forEach(member -> addresses.add(member.address));
        }
        addresses.remove(self.address);
        return new ArrayList<>(addresses);
    }
}
