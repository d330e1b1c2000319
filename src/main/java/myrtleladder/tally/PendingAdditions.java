package myrtleladder.tally;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import myrtleladder.scheduler.Scheduler;

/**
 * The requests that wait until their addition is durable on enough nodes. Each addition is pushed
 * to as many peers as are needed, and to all reachable peers if it is not durable after a delay.
 * Confined to the event loop.
 */
final class PendingAdditions {
    /** Delay after which an addition that is not durable yet is pushed to all reachable peers. */
    private static final long PUSH_TO_ALL_DELAY_MS = 100;

    /** Time after which a request completes as {@link AdditionResult#UNCERTAIN}. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MS = 900;

    private final Scheduler scheduler;
    private final TallyOptions options;
    private final TallyPeers peers;
    private final DurabilityRule durabilityRule;
    private final AdditionPusher pusher;
    private final List<PendingAddition> pending = new ArrayList<>();
    private int nextPeerOffset;

    /** A request whose addition is not durable on enough nodes yet. */
    private static final class PendingAddition {
        private final String replica;
        private final long sequence;
        private final Consumer<AdditionResult> done;
        private Scheduler.Timer pushToAllTimer;
        private Scheduler.Timer timeoutTimer;

        PendingAddition(String replica, long sequence, Consumer<AdditionResult> done) {
            this.replica = replica;
            this.sequence = sequence;
            this.done = done;
        }
    }

    PendingAdditions(
            Scheduler scheduler,
            TallyOptions options,
            TallyPeers peers,
            DurabilityRule durabilityRule,
            AdditionPusher pusher) {
        this.scheduler = scheduler;
        this.options = options;
        this.peers = peers;
        this.durabilityRule = durabilityRule;
        this.pusher = pusher;
    }

    /**
     * Waits until an addition that this node knows is durable on enough nodes.
     *
     * @param done receives {@code ACKNOWLEDGED} or {@code UNCERTAIN}; called once
     */
    void await(String replica, long sequence, Consumer<AdditionResult> done) {
        if (durabilityRule.isSatisfied(replica, sequence)) {
            done.accept(AdditionResult.ACKNOWLEDGED);
            return;
        }
        PendingAddition added = new PendingAddition(replica, sequence, done);
        added.pushToAllTimer =
                scheduler.schedule(PUSH_TO_ALL_DELAY_MS, () -> push(added, peers.reachable()));
        added.timeoutTimer =
                scheduler.schedule(
                        ACKNOWLEDGEMENT_TIMEOUT_MS,
                        () -> {
                            pending.remove(added);
                            complete(added, AdditionResult.UNCERTAIN);
                        });
        pending.add(added);
        push(added, preferredPeers());
    }

    private void push(PendingAddition addition, List<TallyPeer> targets) {
        targets.forEach(peer -> pusher.push(peer, addition.replica, addition.sequence));
    }

    /**
     * Returns as many reachable peers as there have to be copies. Peers in other zones come first,
     * in rotation.
     */
    private List<TallyPeer> preferredPeers() {
        List<TallyPeer> preferred = new ArrayList<>();
        List<TallyPeer> inOwnZone = new ArrayList<>();
        for (TallyPeer peer : peers.reachable()) {
            (peer.zone().equals(options.zone()) ? inOwnZone : preferred).add(peer);
        }
        if (!preferred.isEmpty()) {
            Collections.rotate(preferred, nextPeerOffset++ % preferred.size());
        }
        preferred.addAll(inOwnZone);
        return preferred.subList(0, Math.min(durabilityRule.requiredCopies(), preferred.size()));
    }

    /**
     * Pushes all pending additions to all reachable peers. Called when a chosen peer has not
     * responded.
     */
    void pushAllToReachablePeers() {
        List<TallyPeer> reachable = peers.reachable();
        pending.forEach(addition -> push(addition, reachable));
    }

    /** Acknowledges the additions that have become durable on enough nodes. */
    void acknowledgeDurable() {
        List<PendingAddition> satisfied = new ArrayList<>();
        for (PendingAddition addition : pending) {
            if (durabilityRule.isSatisfied(addition.replica, addition.sequence)) {
                satisfied.add(addition);
            }
        }
        pending.removeAll(satisfied);
        satisfied.forEach(addition -> complete(addition, AdditionResult.ACKNOWLEDGED));
    }

    private static void complete(PendingAddition addition, AdditionResult result) {
        addition.pushToAllTimer.cancel();
        addition.timeoutTimer.cancel();
        addition.done.accept(result);
    }

    /** Returns the number of pending requests. */
    int size() {
        return pending.size();
    }
}
