package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import myrtleladder.protocol.AcceptViewRequest;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.HeartbeatRequest;
import myrtleladder.protocol.InstallStateRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PrepareRequest;
import myrtleladder.protocol.PrepareResponse;
import myrtleladder.protocol.ReplicateRequest;
import myrtleladder.protocol.ResignRequest;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.View;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A member promises an epoch to one candidate, itself included; otherwise two primaries share an
 * epoch and one overwrites the changes that the other acknowledged.
 *
 * <p>The node under test is a replica of a view whose primary is {@link #former}. It promises
 * {@link #PROMISED_EPOCH} to that primary and then stands for {@link #OWN_EPOCH} itself.
 */
class EpochPromiseTest {
    private static final long FIRST_EPOCH = 1;
    private static final long PROMISED_EPOCH = 2;
    private static final long OWN_EPOCH = 3;
    private static final long GENERATION = 7;
    private static final long SETTLE_MS = 200;

    /** How far the node gets with its own epoch before the former primary asks for it. */
    private enum Progress {
        SAVING,
        SAVE_FAILED,
        PREPARING,
        INSTALLING,
        ACCEPTING,
        PRIMARY,
        PRIMARY_RESTARTED
    }

    /** A request that the node sent, with the callback for its response. */
    private record Call(String address, Message message, Consumer<Message> answer) {}

    private final Member self = Member.of("self:1", "self:2", "self");
    private final Member former = Member.of("former:1", "former:2", "former");
    private final Member third = Member.of("third:1", "third:2", "third");
    private final List<Member> group = List.of(former, self, third);
    private final ManualScheduler clock = new ManualScheduler();
    private final List<Call> calls = new ArrayList<>();
    private final List<Consumer<Boolean>> heldSaves = new ArrayList<>();
    private boolean holdSaves;
    private StoredState durable = initialState();
    private Replica replica = startReplica();

    private StoredState initialState() {
        Snapshot snapshot = Snapshot.of(new byte[] {1}, GENERATION, List.of("first"));
        View view = View.of(FIRST_EPOCH, former, List.of(former, self), group, group);
        return StoredState.of(self.storeId, 0, null, snapshot).withAcceptedView(view);
    }

    private Replica startReplica() {
        Replica started =
                new Replica(
                        new ReplicaOptions(self, 1, false, group, 4_000),
                        durable,
                        "unused",
                        clock,
                        this::save,
                        (to, message, timeoutMs, answer) ->
                                calls.add(new Call(to, message, answer)),
                        new NoOpListener(),
                        List::of);
        started.start();
        return started;
    }

    private void save(StoredState state, Consumer<Boolean> done) {
        if (holdSaves) {
            heldSaves.add(done);
        } else {
            durable = state;
            done.accept(true);
        }
    }

    private void restart() {
        calls.clear();
        replica = startReplica();
    }

    private Message request(Message request) {
        AtomicReference<Message> answer = new AtomicReference<>();
        replica.receive(request, answer::set);
        return answer.get();
    }

    private boolean isPromised(long epoch, Member candidate) {
        return ((PrepareResponse) request(PrepareRequest.of(epoch, candidate, false))).granted;
    }

    private boolean isAccepted(Message request) {
        return ((AcknowledgeResponse) request(request)).accepted;
    }

    private InstallStateRequest install(long epoch, Member candidate) {
        Snapshot older = Snapshot.of(new byte[] {2}, GENERATION - 1, List.of());
        return InstallStateRequest.of(epoch, candidate, older, List.of());
    }

    private View viewOf(long epoch, Member primary) {
        return View.of(epoch, primary, List.of(primary, third), group, group);
    }

    /** Answers the oldest request of a type that the node sent to the third member. */
    private void answerThird(Class<? extends Message> type, Message answer) {
        Call call =
                calls.stream()
                        .filter(c -> c.address.equals(third.address) && type.isInstance(c.message))
                        .findFirst()
                        .orElseThrow();
        calls.remove(call);
        call.answer.accept(answer);
        clock.run(SETTLE_MS);
    }

    private PrepareResponse promiseOfThird() {
        return PrepareResponse.of(true, OWN_EPOCH, third, durable.acceptedView, List.of());
    }

    private void standForOwnEpoch(Progress progress) {
        assertTrue(isPromised(PROMISED_EPOCH, former));
        holdSaves = progress == Progress.SAVING || progress == Progress.SAVE_FAILED;
        replica.receive(ResignRequest.of(FIRST_EPOCH), answer -> {});
        assertEquals(OWN_EPOCH, replica.epoch());
        if (progress == Progress.SAVE_FAILED) {
            holdSaves = false;
            heldSaves.forEach(done -> done.accept(false));
        }
        if (progress.compareTo(Progress.INSTALLING) >= 0) {
            answerThird(PrepareRequest.class, promiseOfThird());
        }
        AcknowledgeResponse accepted = AcknowledgeResponse.of(true, OWN_EPOCH, third);
        if (progress.compareTo(Progress.ACCEPTING) >= 0) {
            answerThird(InstallStateRequest.class, accepted);
        }
        if (progress.compareTo(Progress.PRIMARY) >= 0) {
            answerThird(AcceptViewRequest.class, accepted);
            assertEquals(Replica.State.PRIMARY, replica.state());
        }
        if (progress == Progress.PRIMARY_RESTARTED) {
            restart();
        }
    }

    /** Guards against a second primary of an epoch: the node granted its own epoch to another. */
    @ParameterizedTest
    @EnumSource
    void ownEpochIsNotPromisedToAnotherCandidate(Progress progress) {
        standForOwnEpoch(progress);
        Replica.State role = replica.state();
        assertFalse(isPromised(OWN_EPOCH, former));
        assertEquals(role, replica.state());
    }

    /** Guards against lost changes: a state of another candidate replaced that of the primary. */
    @ParameterizedTest
    @EnumSource
    void stateOfAnotherCandidateIsNotInstalledInTheOwnEpoch(Progress progress) {
        standForOwnEpoch(progress);
        assertFalse(isAccepted(install(OWN_EPOCH, former)));
        assertFalse(isAccepted(install(OWN_EPOCH, null)), "sent by a version without the field");
        assertEquals(GENERATION, replica.snapshot().generation);
        assertEquals(2, replica.epochConflicts());
    }

    /** Guards against a second primary of an epoch: two views of one epoch were accepted. */
    @ParameterizedTest
    @EnumSource(names = {"ACCEPTING", "PRIMARY", "PRIMARY_RESTARTED"})
    void secondViewOfTheOwnEpochIsNotAccepted(Progress progress) {
        standForOwnEpoch(progress);
        Replica.State role = replica.state();
        View other = viewOf(OWN_EPOCH, former);
        assertFalse(isAccepted(AcceptViewRequest.of(other)));
        assertFalse(isAccepted(HeartbeatRequest.of(other)));
        assertEquals(self, durable.acceptedView.primary);
        assertEquals(role, replica.state());
        assertEquals(2, replica.epochConflicts());
    }

    /** Guards against lost changes: a primary took a change of its own epoch from another. */
    @Test
    void primaryTakesNoChangeOfItsOwnEpoch() {
        standForOwnEpoch(Progress.PRIMARY);
        byte[] document = {3};
        assertFalse(isAccepted(ReplicateRequest.of(OWN_EPOCH, document, GENERATION + 1, "other")));
        assertEquals(GENERATION, replica.snapshot().generation);
        assertEquals(1, replica.epochConflicts());
    }

    /** Guards against a changed promise: an accepted view raised the number, not the holder. */
    @Test
    void epochOfAnAcceptedViewIsNotPromisedToTheHolderOfTheFormerPromise() {
        assertTrue(isPromised(PROMISED_EPOCH, former));
        assertTrue(isAccepted(AcceptViewRequest.of(viewOf(OWN_EPOCH, third))));
        assertFalse(isPromised(OWN_EPOCH, former));
        assertFalse(isAccepted(install(OWN_EPOCH, former)));
    }

    /**
     * Guards against a forgotten view: a candidate whose group a later view replaced stayed
     * candidate, and accepted its own older view afterwards.
     */
    @ParameterizedTest
    @EnumSource(names = {"PREPARING", "INSTALLING"})
    void candidateGivesUpForALaterViewWhoseGroupDoesNotIncludeIt(Progress progress) {
        standForOwnEpoch(progress);
        List<Member> others = List.of(former, third);
        View later = View.of(OWN_EPOCH + 1, former, others, others, others);
        assertTrue(isAccepted(HeartbeatRequest.of(later)));
        List.copyOf(calls)
                .forEach(c -> c.answer.accept(AcknowledgeResponse.of(true, OWN_EPOCH, third)));
        assertEquals(OWN_EPOCH + 1, durable.acceptedView.epoch);
        assertEquals(Replica.State.JOINING, replica.state());
    }

    /** Guards against overwritten changes: a late request replaced the state of a running view. */
    @Test
    void stateIsNotInstalledOnceTheViewIsAccepted() {
        assertTrue(isPromised(PROMISED_EPOCH, third));
        assertTrue(isAccepted(AcceptViewRequest.of(viewOf(PROMISED_EPOCH, third))));
        assertFalse(isAccepted(install(PROMISED_EPOCH, third)));
        assertFalse(isPromised(PROMISED_EPOCH, third), "a late request is no new promise");
    }

    /** Guards against a promise that another candidate takes over during a restart. */
    @Test
    void promiseKeepsItsHolderOverARestart() {
        assertTrue(isPromised(PROMISED_EPOCH, former));
        restart();
        assertFalse(isPromised(PROMISED_EPOCH, third));
        assertFalse(isAccepted(install(PROMISED_EPOCH, third)));
        assertTrue(isPromised(PROMISED_EPOCH, former), "a retry after a lost response");
        assertTrue(isAccepted(install(PROMISED_EPOCH, former)));
    }

    /** Guards against a fleet without a primary while its members run two versions. */
    @Test
    void stateOfACandidateThatDoesNotNameItselfIsInstalled() {
        assertTrue(isPromised(PROMISED_EPOCH, former));
        assertTrue(isAccepted(install(PROMISED_EPOCH, null)));
        assertEquals(0, replica.epochConflicts());
    }

    /** Guards against a promise whose holder is unknown and that is taken for anybody's. */
    @Test
    void promiseOfAVersionThatStoredNoHolderIsKept() {
        durable = durable.withPromise(PROMISED_EPOCH, null);
        restart();
        assertFalse(isPromised(PROMISED_EPOCH, former));
        assertFalse(isAccepted(install(PROMISED_EPOCH, former)));
        assertEquals(0, replica.epochConflicts(), "it may be the holder");
        assertTrue(isPromised(OWN_EPOCH, former));
    }
}
