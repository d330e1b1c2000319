package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.ShareInstancesRequest;
import myrtleladder.replication.ManualScheduler;
import org.junit.jupiter.api.Test;

/** Records meant for an unresponsive member are delivered once it responds again. */
class HintedHandoffTest {
    private static InstanceRecord record(String id, Stage stage, long sequence) {
        return InstanceRecord.of(id, "s", "10.0.0.1:80", "z", 8, "v1", stage, sequence);
    }

    @Test
    void latestRecordOfEachInstanceIsHandedOverOnceTheMemberAnswers() {
        ManualScheduler clock = new ManualScheduler();
        Member unresponsiveMember = Member.of("b:1", "b:2", "store");
        boolean[] isResponsive = {false};
        List<InstanceRecord> receivedRecords = new ArrayList<>();
        HintedHandoff handoff =
                new HintedHandoff(
                        clock,
                        (to, message, timeoutMs, responder) -> {
                            if (isResponsive[0]) {
                                receivedRecords.addAll(((ShareInstancesRequest) message).instances);
                            }
                            responder.accept(
                                    isResponsive[0]
                                            ? AcknowledgeResponse.of(true, 1, unresponsiveMember)
                                            : null);
                        });
        handoff.addHint(unresponsiveMember, record("i", Stage.READY, 1), 1);
        handoff.addHint(unresponsiveMember, record("i", Stage.DRAINING, 2), 1);
        handoff.addHint(unresponsiveMember, record("j", Stage.GONE, 1), 1);
        clock.run(2_000);
        assertEquals(2, handoff.hintCount());
        isResponsive[0] = true;
        clock.run(1_000);
        assertEquals(0, handoff.hintCount());
        assertEquals(
                List.of(Stage.DRAINING, Stage.GONE),
                receivedRecords.stream().map(r -> r.stage).toList());
    }

    @Test
    void acknowledgementOfAnotherMemberAtTheAddressRemovesNoHint() {
        ManualScheduler clock = new ManualScheduler();
        Member unresponsiveMember = Member.of("b:1", "b:2", "store");
        Member wiped = Member.of("b:1", "b:2", "new store");
        HintedHandoff handoff =
                new HintedHandoff(
                        clock,
                        (to, message, timeoutMs, responder) ->
                                responder.accept(AcknowledgeResponse.of(true, 1, wiped)));
        handoff.addHint(unresponsiveMember, record("i", Stage.GONE, 1), 1);
        clock.run(1_000);
        assertEquals(1, handoff.hintCount());
    }

    @Test
    void hintsForFormerMembersAreDropped() {
        ManualScheduler clock = new ManualScheduler();
        List<String> called = new ArrayList<>();
        HintedHandoff handoff =
                new HintedHandoff(clock, (to, message, timeoutMs, responder) -> called.add(to));
        Member gone = Member.of("b:1", "b:2", "gone");
        Member stays = Member.of("c:1", "c:2", "stays");
        handoff.addHint(gone, record("i", Stage.READY, 1), 1);
        handoff.addHint(stays, record("i", Stage.READY, 1), 1);
        handoff.retainMembers(List.of(stays));
        assertEquals(1, handoff.hintCount());
        clock.run(1_000);
        assertEquals(List.of("c:1", "c:1"), called);
    }
}
