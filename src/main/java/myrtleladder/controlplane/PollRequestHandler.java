package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;

/**
 * Handles the long polls by which balancers learn of the configuration, the upstreams, the other
 * balancers and their loads. A poll is answered at once if there is an update for the balancer,
 * else as soon as there is one or its time is over.
 *
 * <p>Invariant: polls wait only while this node is primary. Confined to the event loop.
 */
final class PollRequestHandler {
    /** The shortest that a poll without update waits. */
    private static final long MIN_WAIT_MS = 150;

    /** The longest that a poll without update waits. */
    private static final long MAX_WAIT_MS = 450;

    /** What each balancer adds to the wait: bounds the polls of all to 250 a second. */
    private static final long WAIT_PER_BALANCER_MS = 4;

    private final Scheduler scheduler;
    private final BalancerRegistry balancers;
    private final FleetLoadExchange fleetLoads;
    private final PollResponseBuilder responses;
    private final List<LongPoll> waiting = new ArrayList<>();
    private Replica replica;
    private boolean isPrimary;

    PollRequestHandler(
            Scheduler scheduler,
            BalancerRegistry balancers,
            FleetLoadExchange fleetLoads,
            PollResponseBuilder responses) {
        this.scheduler = scheduler;
        this.balancers = balancers;
        this.fleetLoads = fleetLoads;
        this.responses = responses;
    }

    /** Sets the replica that knows who is primary; has to precede all else. */
    void attach(Replica attached) {
        replica = attached;
        responses.attach(attached);
    }

    /** This node became primary. */
    void onPrimacyGained() {
        isPrimary = true;
        sendUpdates();
    }

    /** This node is no longer primary: balancers that wait are told who is. */
    void onPrimacyLost() {
        isPrimary = false;
        List<LongPoll> abandoned = new ArrayList<>(waiting);
        waiting.clear();
        abandoned.forEach(poll -> poll.responder().accept(responses.notPrimary()));
    }

    /** Answers the polls that have waited long enough. */
    void tick(long nowMs) {
        long waitMs = waitMs();
        answer(waiting.stream().filter(poll -> nowMs - poll.receivedAtMs() >= waitMs).toList());
    }

    /** Short waits keep the loads fresh; the more balancers, the less often each polls. */
    private long waitMs() {
        long sharedMs = WAIT_PER_BALANCER_MS * balancers.count(false);
        return Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, sharedMs));
    }

    /** Accepts a poll. */
    void handle(PollRequest request, Consumer<Message> responder) {
        if (!isPrimary || !replica.isRecentlyConfirmed()) {
            responder.accept(responses.notPrimary());
            return;
        }
        long nowMs = scheduler.now();
        balancers.recordPoll(request, nowMs);
        if (request.leaving) {
            fleetLoads.remove(request.balancer);
        } else {
            fleetLoads.record(request.loadReport, nowMs);
        }
        if (request.immediate || request.leaving || responses.hasUpdate(request)) {
            responder.accept(responses.build(request));
        } else {
            waiting.add(new LongPoll(request, responder, nowMs));
        }
    }

    /** Answers the waiting polls of all balancers for which there is an update. */
    void sendUpdates() {
        if (!isPrimary || replica.state() != Replica.State.PRIMARY) {
            return;
        }
        answer(waiting.stream().filter(poll -> responses.hasUpdate(poll.request())).toList());
    }

    private void answer(List<LongPoll> due) {
        waiting.removeAll(due);
        due.forEach(poll -> poll.responder().accept(responses.build(poll.request())));
    }
}
