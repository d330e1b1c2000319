package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import myrtleladder.protocol.Member;
import org.junit.jupiter.api.Test;

/** An answer counts from the time at which its question was sent. */
class MemberContactsTest {
    private final Member one = Member.of("a:1", "a:2", "a");
    private final MemberContacts contacts = new MemberContacts();

    @Test
    void anAnswerThatIsReadLateProvesNothingAboutTheTimeSince() {
        contacts.watch(List.of(one), 1_000);
        contacts.onAcknowledged(one, 1_200);
        // read at 1,800 or after a freeze: it is as old as its question
        assertEquals(List.of(), contacts.acknowledgedSince(1_300));
        assertEquals(List.of(one), contacts.acknowledgedSince(1_200));
    }

    @Test
    void silenceCountsFromTheLastAnsweredQuestion() {
        contacts.watch(List.of(one), 1_000);
        assertEquals(500, contacts.millisSinceContact(one, 1_500));
        contacts.onAcknowledged(one, 1_400);
        assertEquals(100, contacts.millisSinceContact(one, 1_500));
        contacts.watch(List.of(one), 1_500);
        assertEquals(600, contacts.millisSinceContact(one, 2_000));
    }

    @Test
    void afterThisProcessStoodStillNobodyIsTakenForSilentAndNothingForConfirmed() {
        contacts.watch(List.of(one), 1_000);
        contacts.onAcknowledged(one, 1_400);
        contacts.clear(9_000);
        assertEquals(0, contacts.millisSinceContact(one, 9_000));
        assertEquals(List.of(), contacts.acknowledgedSince(0));
    }
}
