package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.View;
import org.junit.jupiter.api.Test;

/** Which node is asked next. */
class PeerAddressRotationTest {
    private final Member self = Member.of("self:1", "self:2", "self");
    private final Member voter = Member.of("voter:1", "voter:2", "voter");
    private final View view =
            View.of(1, voter, List.of(voter), List.of(voter, self), List.of(voter, self));

    private static List<String> nextFour(
            PeerAddressRotation rotation, View view, Optional<String> primaryAddress) {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            rotation.next(view, primaryAddress).ifPresent(addresses::add);
        }
        return addresses;
    }

    @Test
    void primaryIsAskedByTurnsWithSeedsAndMembers() {
        PeerAddressRotation rotation = new PeerAddressRotation(self, Set.of("seed:1", "self:1"));
        assertEquals(
                List.of("primary:1", "seed:1", "primary:1", "voter:1"),
                nextFour(rotation, view, Optional.of("primary:1")));
    }

    @Test
    void eachOtherNodeIsAskedTwiceInARowWithoutAPrimary() {
        Set<String> seeds = new LinkedHashSet<>(List.of("seed:1", "seed:2"));
        PeerAddressRotation rotation = new PeerAddressRotation(self, seeds);
        assertEquals(
                List.of("seed:1", "seed:1", "seed:2", "seed:2"),
                nextFour(rotation, null, Optional.empty()));
    }

    @Test
    void nodeThatKnowsOnlyItselfAsksNobody() {
        PeerAddressRotation rotation = new PeerAddressRotation(self, Set.of("self:1"));
        assertEquals(List.of(), nextFour(rotation, null, Optional.empty()));
    }
}
