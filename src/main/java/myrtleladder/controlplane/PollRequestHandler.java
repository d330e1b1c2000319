package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Handles the long polls with which balancers fetch the configuration, the upstreams, the other
 * balancers and their loads. A poll is answered at once if there is an update for the balancer,
 * otherwise as soon as there is one or the maximum wait is over.
 *
 * <p>Invariant: polls wait only while this node is primary. Confined to the event loop.
 */
final class PollRequestHandler {
    private static final Logger LOG = LogManager.getLogger(PollRequestHandler.class);

    /** Minimum wait of a poll without an update. */
    private static final long MIN_WAIT_MS = 150;

    /** Maximum wait of a poll without an update. */
    private static final long MAX_WAIT_MS = 450;

    /** Wait per balancer. Limits the total rate of polls to 250 per second. */
    private static final long WAIT_PER_BALANCER_MS = 4;

    private final Scheduler scheduler;
    private final BalancerRegistry balancers;
    private final FleetLoadExchange fleetLoads;
    private final PollResponseBuilder responses;
    private final List<LongPoll> waitingPolls = new ArrayList<>();
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

    /** Sets the replica that knows the primary. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
        responses.attach(attached);
    }

    /** Called when this node becomes primary. */
    void onPrimacyGained() {
        isPrimary = true;
        sendUpdates();
    }

    /**
     * Called when this node is no longer primary; answers the waiting polls with the address of the
     * primary, if known.
     */
    void onPrimacyLost() {
        isPrimary = false;
        List<LongPoll> abandoned = new ArrayList<>(waitingPolls);
        waitingPolls.clear();
        abandoned.forEach(poll -> poll.responder().accept(responses.notPrimary()));
    }

    /** Answers the polls whose wait is over. */
    void tick(long nowMs) {
        long waitMs = waitMs();
        respondTo(
                waitingPolls.stream()
                        .filter(poll -> nowMs - poll.receivedAtMs() >= waitMs)
                        .toList());
    }

    /**
     * Returns the wait of a poll. Short waits keep the loads current; with more balancers, each
     * polls less often.
     */
    private long waitMs() {
        long scaledWaitMs = WAIT_PER_BALANCER_MS * balancers.count(false);
        return Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, scaledWaitMs));
    }

    /** Handles a poll; {@code responder} receives the response, possibly later. */
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
            waitingPolls.add(new LongPoll(request, responder, nowMs));
        }
    }

    /** Answers the waiting polls for which there is an update. */
    void sendUpdates() {
        if (!isPrimary || replica.state() != Replica.State.PRIMARY) {
            return;
        }
        respondTo(
                waitingPolls.stream().filter(poll -> responses.hasUpdate(poll.request())).toList());
    }

    private void respondTo(List<LongPoll> duePolls) {
        waitingPolls.removeAll(duePolls);
        duePolls.forEach(this::respondTo);
    }

    /** Responds to a poll; if that fails, the others are answered all the same. */
    private void respondTo(LongPoll poll) {
        try {
            poll.responder().accept(responses.build(poll.request()));
        } catch (RuntimeException | Error e) {
            LOG.error("failed to respond to the poll of {}", poll.request().balancer, e);
        }
    }
}
