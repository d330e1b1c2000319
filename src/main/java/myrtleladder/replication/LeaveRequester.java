package myrtleladder.replication;

import java.util.Optional;
import java.util.function.Consumer;
import myrtleladder.protocol.LeaveRequest;
import myrtleladder.protocol.LeaveResponse;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Removes this node from the group before its process exits. It repeats a leave request to the
 * primary until the primary releases the node, that is, until neither its copy of the state nor its
 * vote is needed, or until the deadline.
 *
 * <p>Confined to the event loop. {@link Replica#leave} starts it once; the callback runs exactly
 * once.
 */
final class LeaveRequester {
    private static final Logger LOG = LogManager.getLogger(Replica.class);

    private final ReplicaContext context;
    private final QuorumState quorum;
    private final PeerAddressRotation addresses;
    private boolean started;
    private boolean completed;
    private long deadlineMs;
    private Consumer<Boolean> onCompleted;

    LeaveRequester(ReplicaContext context, QuorumState quorum) {
        this.context = context;
        this.quorum = quorum;
        this.addresses = new PeerAddressRotation(context.self(), context.options().seedAddresses());
    }

    /** Returns whether this node is leaving the group. */
    boolean isStarted() {
        return started;
    }

    /**
     * Resigns if this node is the primary, then sends leave requests. Does nothing if already
     * started.
     *
     * @param timeoutMs after which it completes even if the group has not released the node
     * @param completionCallback receives whether the group released this node
     */
    void start(long timeoutMs, Consumer<Boolean> completionCallback) {
        if (started) {
            return;
        }
        started = true;
        deadlineMs = context.nowMs() + timeoutMs;
        onCompleted = completionCallback;
        if (quorum.isPrimary()) {
            quorum.resign("this node is shutting down");
        }
        requestRelease();
    }

    private void requestRelease() {
        if (completed) {
            return;
        }
        if (context.nowMs() >= deadlineMs) {
            complete(false);
            return;
        }
        Optional<String> address = addresses.next(context.view());
        if (address.isPresent()) {
            sendRequest(address.get());
        } else {
            complete(false); // no other node exists to take over
        }
        context.scheduler()
                .schedule(ReplicationTiming.LEAVE_RETRY_INTERVAL_MS, this::requestRelease);
    }

    private void sendRequest(String address) {
        context.transport()
                .call(
                        address,
                        LeaveRequest.of(context.self()),
                        ReplicationTiming.REQUEST_TIMEOUT_MS,
                        answer -> {
                            if (answer instanceof LeaveResponse response) {
                                onResponse(response);
                            }
                        });
    }

    private void onResponse(LeaveResponse response) {
        if (completed) {
            return;
        }
        if (response.view == null) {
            return;
        }
        quorum.onViewLearned(response.view);
        if (response.released && isLatestKnown(response.view.epoch)) {
            complete(true);
        }
    }

    /**
     * Returns whether no later epoch is known. A deposed primary may release a node on the basis of
     * a view that has been superseded.
     */
    private boolean isLatestKnown(long epoch) {
        return epoch >= context.viewTracker().highestEpoch()
                && epoch >= context.storedState().promisedEpoch;
    }

    private void complete(boolean released) {
        completed = true;
        LOG.info("leaving the group, released={}", released);
        onCompleted.accept(released);
    }
}
