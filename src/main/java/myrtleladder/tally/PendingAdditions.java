package myrtleladder.tally;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import myrtleladder.scheduler.Scheduler;

/**
 * The requests that wait until their addition is durable on enough nodes. Each addition is pushed to as many peers as are needed, and to all reachable peers if it is not durable after a delay. Confined to the event loop.
 */
final class PendingAdditions {
    /** Delay after which an addition that is not durable yet is pushed to all reachable peers. */
    private static final long WIDEN_AFTER_MS = 100;

    /** Time after which a request completes as {@link AdditionResult#UNCERTAIN}. */
    private static final long TIMEOUT_MS = 900;

    private final Scheduler scheduler;
    private final TallyOptions options;
    private final TallyPeers peers;
    private final DurabilityRule rule;
    private final AdditionPusher pusher;
    private final List<Pending> pending = new ArrayList<>();
    private int turn;

    /** A request whose addition is not durable on enough nodes yet. */
    private static final class Pending {
        private final String replica;
        private final long sequence;
        private final Consumer<AdditionResult> done;
        private Scheduler.Timer widening;
        private Scheduler.Timer timeout;

        Pending(String replica, long sequence, Consumer<AdditionResult> done) {
            this.replica = replica;
            this.sequence = sequence;
            this.done = done;
        }
    }

    PendingAdditions(
            Scheduler scheduler,
            TallyOptions options,
            TallyPeers peers,
            DurabilityRule rule,
            AdditionPusher pusher) {
        this.scheduler = scheduler;
        this.options = options;
        this.peers = peers;
        this.rule = rule;
        this.pusher = pusher;
    }

    /**
     * Waits until an addition that this node knows is durable on enough nodes.
     *
     * @param done receives {@code ACKNOWLEDGED} or {@code UNCERTAIN}; called once
     */
    void await(String replica, long sequence, Consumer<AdditionResult> done) {
        if (rule.isSatisfied(replica, sequence)) {
            done.accept(AdditionResult.ACKNOWLEDGED);
            return;
        }
        Pending added = new Pending(replica, sequence, done);
        added.widening = scheduler.schedule(WIDEN_AFTER_MS, () -> push(added, peers.reachable()));
        added.timeout =
                scheduler.schedule(
                        TIMEOUT_MS,
                        () -> {
                            pending.remove(added);
                            finish(added, AdditionResult.UNCERTAIN);
                        });
        pending.add(added);
        push(added, preferredPeers());
    }

    private void push(Pending addition, List<TallyPeer> targets) {
        targets.forEach(peer -> pusher.push(peer, addition.replica, addition.sequence));
    }

    /** Returns as many reachable peers as there have to be copies. Peers in other zones come first, in rotation. */
    private List<TallyPeer> preferredPeers() {
        List<TallyPeer> ordered = new ArrayList<>();
        List<TallyPeer> inOwnZone = new ArrayList<>();
        for (TallyPeer peer : peers.reachable()) {
            (peer.zone().equals(options.zone()) ? inOwnZone : ordered).add(peer);
        }
        if (!ordered.isEmpty()) {
            Collections.rotate(ordered, turn++ % ordered.size());
        }
        ordered.addAll(inOwnZone);
        return ordered.subList(0, Math.min(rule.fullNodeCount(), ordered.size()));
    }

    /** Pushes all pending additions to all reachable peers. Called when a chosen peer has not responded. */
    void widen() {
        List<TallyPeer> reachable = peers.reachable();
        pending.forEach(waiting -> push(waiting, reachable));
    }

    /** Acknowledges the additions that have become durable on enough nodes. */
    void check() {
        List<Pending> satisfied = new ArrayList<>();
        for (Pending waiting : pending) {
            if (rule.isSatisfied(waiting.replica, waiting.sequence)) {
                satisfied.add(waiting);
            }
        }
        pending.removeAll(satisfied);
        satisfied.forEach(waiting -> finish(waiting, AdditionResult.ACKNOWLEDGED));
    }

    private static void finish(Pending waiting, AdditionResult result) {
        waiting.widening.cancel();
        waiting.timeout.cancel();
        waiting.done.accept(result);
    }

    /** Returns the number of pending requests. */
    int size() {
        return pending.size();
    }
}
