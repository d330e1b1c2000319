package myrtleladder.replication;

import myrtleladder.protocol.JoinRequest;
import myrtleladder.protocol.JoinResponse;

/**
 * Sends join requests, which ask other nodes for the current view and, if this node is not in its
 * group, for admission. Confined to the event loop; polled by {@link JoiningState} and {@link
 * FollowerState}.
 */
final class JoinRequester {
    private final ReplicaContext context;
    private final QuorumState quorum;
    private final PeerAddressRotation addresses;
    private long lastRequestMs;

    JoinRequester(ReplicaContext context, QuorumState quorum) {
        this.context = context;
        this.quorum = quorum;
        this.addresses = new PeerAddressRotation(context.self(), context.options().seedAddresses());
    }

    /** Sends a request if one is due. A node that is leaving sends none. */
    void poll(long nowMs) {
        boolean due = nowMs - lastRequestMs >= ReplicationTiming.JOIN_RETRY_INTERVAL_MS;
        if (due && !quorum.isLeaving()) {
            lastRequestMs = nowMs;
            addresses.next(context.view()).ifPresent(this::sendRequest);
        }
    }

    private void sendRequest(String address) {
        context.transport()
                .call(
                        address,
                        JoinRequest.of(context.self()),
                        ReplicationTiming.REQUEST_TIMEOUT_MS,
                        answer -> {
                            if (answer instanceof JoinResponse response && response.view != null) {
                                quorum.onViewLearned(response.view);
                            }
                        });
    }
}
