package myrtleladder.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Selects the other members that are probed or sent updates.
 *
 * <p>Probes go round-robin through an order that is shuffled anew for each round, which bounds the
 * time until a given member is probed (SWIM, section 4.3).
 */
final class PeerSelector {
    /** Random draws for each member that is wanted, to bound the effort. */
    private static final int DRAWS_PER_MEMBER = 4;

    private final String localName;
    private final MemberTable table;
    private final Random random;
    private final List<String> probeOrder = new ArrayList<>();
    private int nextProbed;

    PeerSelector(String localName, MemberTable table, Random random) {
        this.localName = localName;
        this.table = table;
        this.random = random;
    }

    /** The next member to probe, null if there is no other. */
    MemberUpdate nextToProbe() {
        for (int examined = 0; examined <= probeOrder.size() + 1; examined++) {
            if (nextProbed >= probeOrder.size()) {
                startRound();
                if (probeOrder.isEmpty()) {
                    return null;
                }
            }
            MemberUpdate candidate = table.get(probeOrder.get(nextProbed));
            nextProbed++;
            if (isPresent(candidate)) {
                return candidate;
            }
        }
        return null;
    }

    private void startRound() {
        nextProbed = 0;
        probeOrder.clear();
        for (MemberUpdate member : table.all()) {
            if (isPresent(member) && !member.name().equals(localName)) {
                probeOrder.add(member.name());
            }
        }
        Collections.shuffle(probeOrder, random);
    }

    /** Up to so many random members; fewer if the draws do not yield as many. */
    List<MemberUpdate> randomMembers(int count) {
        List<MemberUpdate> selected = new ArrayList<>();
        int drawsLeft = DRAWS_PER_MEMBER * count;
        while (drawsLeft > 0 && selected.size() < count && !probeOrder.isEmpty()) {
            drawsLeft--;
            MemberUpdate drawn = table.get(probeOrder.get(random.nextInt(probeOrder.size())));
            if (isPresent(drawn) && !selected.contains(drawn)) {
                selected.add(drawn);
            }
        }
        return selected;
    }

    private static boolean isPresent(MemberUpdate member) {
        return member != null && member.state().isPresent();
    }
}
