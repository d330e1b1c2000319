package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.View;
import org.junit.jupiter.api.Test;

/** The order in which nodes are contacted. */
class PeerAddressRotationTest {
    private final Member self = Member.of("self:1", "self:2", "self");
    private final Member voter = Member.of("voter:1", "voter:2", "voter");
    private final Member primary = Member.of("primary:1", "primary:2", "primary");

    private View viewOf(Member viewPrimary) {
        List<Member> group = List.of(voter, self);
        return View.of(1, viewPrimary, List.of(viewPrimary), group, group);
    }

    private static List<String> nextFour(PeerAddressRotation rotation, View view) {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            rotation.next(view).ifPresent(addresses::add);
        }
        return addresses;
    }

    @Test
    void primaryAlternatesWithSeedsAndMembers() {
        PeerAddressRotation rotation = new PeerAddressRotation(self, Set.of("seed:1", "self:1"));
        assertEquals(
                List.of("primary:1", "seed:1", "primary:1", "voter:1"),
                nextFour(rotation, viewOf(primary)));
    }

    @Test
    void nodeThatLostItsDiskDoesNotContactItsFormerStore() {
        Member formerStore = Member.of(self.address, self.controlAddress, "former store");
        PeerAddressRotation rotation = new PeerAddressRotation(self, Set.of("seed:1", "self:1"));
        assertEquals(
                List.of("seed:1", "seed:1", "voter:1", "voter:1"),
                nextFour(rotation, viewOf(formerStore)));
    }

    @Test
    void withoutAPrimaryEachOtherNodeIsContactedTwiceInARow() {
        Set<String> seeds = new LinkedHashSet<>(List.of("seed:1", "seed:2"));
        PeerAddressRotation rotation = new PeerAddressRotation(self, seeds);
        assertEquals(List.of("seed:1", "seed:1", "seed:2", "seed:2"), nextFour(rotation, null));
    }

    @Test
    void nodeThatKnowsOnlyItselfContactsNoNode() {
        PeerAddressRotation rotation = new PeerAddressRotation(self, Set.of("self:1"));
        assertEquals(List.of(), nextFour(rotation, null));
    }
}
