package myrtleladder.replication;

import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import myrtleladder.protocol.LeaveRequest;
import myrtleladder.protocol.LeaveResponse;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.View;
import myrtleladder.scheduler.Scheduler;

/**
 * The end of a node that was asked to end: it asks the primary to be let go until neither its copy
 * nor its vote is needed, or until its time is over.
 */
final class Departure {
    private final Member self;
    private final Scheduler scheduler;
    private final Peers peers;
    private final Supplier<View> known;
    private final Set<String> seeds;
    private final long latest;
    private final Listener listener;
    private int turn;
    private boolean ended;

    /** Who hears of the departure. */
    interface Listener {
        /** A view that another node told. */
        void learned(View view);

        /** The process may end; {@code released} says that nothing depends on it any more. */
        void ended(boolean released);
    }

    Departure(
            Member self,
            Scheduler scheduler,
            Peers peers,
            Supplier<View> known,
            Set<String> seeds,
            long withinMs,
            Listener listener) {
        this.self = self;
        this.scheduler = scheduler;
        this.peers = peers;
        this.known = known;
        this.seeds = seeds;
        this.latest = scheduler.now() + withinMs;
        this.listener = listener;
    }

    /** Asks now and again until the node is let go. */
    void begin() {
        if (ended) {
            return;
        }
        if (scheduler.now() >= latest) {
            end(false);
            return;
        }
        ask();
        scheduler.schedule(ReplicaTimes.LEAVE, this::begin);
    }

    private void ask() {
        String target = target();
        if (target == null) {
            end(false); // there is nobody to hand anything over to
            return;
        }
        peers.call(
                target,
                LeaveRequest.of(self),
                ReplicaTimes.CALL,
                answer -> {
                    if (ended || !(answer instanceof LeaveResponse reply)) {
                        return;
                    }
                    if (reply.view != null) {
                        listener.learned(reply.view);
                    }
                    if (reply.released) {
                        end(true);
                    }
                });
    }

    /** The primary by turns with all others, since who is primary may have changed. */
    private String target() {
        List<String> others = NodeAddresses.others(self, known.get(), seeds);
        if (others.isEmpty()) {
            return null;
        }
        View view = known.get();
        boolean named = view != null && view.primary != null && !view.primary.equals(self);
        int asked = turn++;
        return named && asked % 2 == 0
                ? view.primary.address
                : others.get(asked / 2 % others.size());
    }

    private void end(boolean released) {
        ended = true;
        listener.ended(released);
    }
}
