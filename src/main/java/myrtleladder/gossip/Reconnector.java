package myrtleladder.gossip;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Probes addresses at which there may be members that the table lacks: the seeds, and members that
 * were declared dead. That is how a process joins, and how the parts of a partition find each other
 * again.
 */
final class Reconnector {
    private final List<String> seeds;
    private final LocalMember localMember;
    private final MemberTable table;
    private final DatagramSender sender;
    private final Random random;

    Reconnector(
            List<String> seeds,
            LocalMember localMember,
            MemberTable table,
            DatagramSender sender,
            Random random) {
        this.seeds = List.copyOf(seeds);
        this.localMember = localMember;
        this.table = table;
        this.sender = sender;
        this.random = random;
    }

    void probeAllSeeds() {
        seeds.forEach(this::probe);
    }

    /** Probes one random address among dead members and seeds that are no members. */
    void probeOne() {
        Set<String> presentAddresses = new HashSet<>();
        List<String> candidates = new ArrayList<>();
        for (MemberUpdate member : table.all()) {
            if (member.state().isPresent()) {
                presentAddresses.add(member.address());
            } else if (member.state() == MemberState.DEAD) {
                candidates.add(member.address());
            }
        }
        for (String seed : seeds) {
            if (!presentAddresses.contains(seed)) {
                candidates.add(seed);
            }
        }
        if (!candidates.isEmpty()) {
            probe(candidates.get(random.nextInt(candidates.size())));
        }
    }

    private void probe(String address) {
        if (!address.equals(localMember.current().address())) {
            sender.send(address, GossipDatagram.Kind.PING, 0, deadMemberAt(address));
        }
    }

    /** Name of the dead member at an address, null if there is none. */
    private String deadMemberAt(String address) {
        for (MemberUpdate member : table.all()) {
            if (member.address().equals(address) && member.state() == MemberState.DEAD) {
                return member.name();
            }
        }
        return null;
    }
}
