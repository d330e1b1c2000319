package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.StoredState;
import org.junit.jupiter.api.Test;

/**
 * Tests how {@link PersistentState} tracks saves in flight. The tests decide when each save
 * completes and whether it succeeds.
 */
class PersistentStateTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final List<StoredState> written = new ArrayList<>();
    private final List<Consumer<Boolean>> pendingSaves = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final StoredState initial = StoredState.of("store", 0, null, new Snapshot());
    private final InstanceRecord instance = InstanceRecord.departed("upstream");
    private final PersistentState state =
            new PersistentState(
                    initial,
                    this::write,
                    clock,
                    () -> List.of(instance),
                    new ViewTracker(Member.of("a:1", "a:2", "store"), null),
                    () -> events.add("save failed"));

    private void write(StoredState next, Consumer<Boolean> done) {
        written.add(next);
        pendingSaves.add(done);
    }

    @Test
    void stateIsCurrentBeforeItIsDurable() {
        Member candidate = Member.of("b:1", "b:2", "other-store");
        state.save(initial.withPromise(5, candidate), saved -> events.add("saved"));
        assertEquals(5, state.current().promisedEpoch);
        assertFalse(state.isIdle());
        assertEquals(List.of(), events);
        pendingSaves.get(0).accept(true);
        assertTrue(state.isIdle());
        assertEquals(List.of("saved"), events);
    }

    @Test
    void failureIsReportedBeforeTheCallbackOfTheSave() {
        state.save(initial, saved -> events.add("saved: " + saved));
        pendingSaves.get(0).accept(false);
        assertEquals(List.of("save failed", "saved: false"), events);
    }

    @Test
    void onlyAReplicaSavesTheUpstreams() {
        state.save(initial, saved -> {});
        state.saveAsReplica(initial, saved -> {});
        assertEquals(List.of(), written.get(0).instances);
        assertEquals(List.of(instance), written.get(1).instances);
    }

    @Test
    void storageIsStalledIfNoSaveCompletesWithinTheTimeout() {
        state.save(initial, saved -> {});
        state.save(initial, saved -> {});
        clock.run(ReplicationTiming.STORAGE_TIMEOUT_MS);
        assertFalse(state.isStalled());
        clock.run(1);
        assertTrue(state.isStalled());
        pendingSaves.get(0).accept(true);
        assertFalse(state.isStalled());
    }
}
