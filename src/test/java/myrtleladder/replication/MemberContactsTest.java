package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import myrtleladder.protocol.Member;
import org.junit.jupiter.api.Test;

/** An acknowledgement is dated by the time at which its request was sent. */
class MemberContactsTest {
    private final Member member = Member.of("a:1", "a:2", "a");
    private final MemberContacts contacts = new MemberContacts();

    @Test
    void lateAcknowledgementIsDatedByItsRequest() {
        contacts.track(List.of(member), 1_000);
        contacts.onAcknowledged(member, 1_200);
        assertEquals(List.of(), contacts.acknowledgedSince(1_300));
        assertEquals(List.of(member), contacts.acknowledgedSince(1_200));
    }

    @Test
    void timeWithoutContactCountsFromTheLastAcknowledgedRequest() {
        contacts.track(List.of(member), 1_000);
        assertEquals(500, contacts.millisSinceContact(member, 1_500));
        contacts.onAcknowledged(member, 1_400);
        assertEquals(100, contacts.millisSinceContact(member, 1_500));
        contacts.track(List.of(member), 1_500);
        assertEquals(600, contacts.millisSinceContact(member, 2_000));
    }

    @Test
    void afterProcessPauseNoMemberHasTimedOutAndNothingIsConfirmed() {
        contacts.track(List.of(member), 1_000);
        contacts.onAcknowledged(member, 1_400);
        contacts.clear(9_000);
        assertEquals(0, contacts.millisSinceContact(member, 9_000));
        assertEquals(List.of(), contacts.acknowledgedSince(0));
    }
}
