package myrtleladder.replication;

/**
 * The role of a node outside the group: it requests admission, does not vote and cannot become
 * primary.
 *
 * <p>Invariant: this node is not in the group of the latest known view, if there is one. When a
 * view includes it, {@link QuorumState} makes it a follower. Confined to the event loop.
 */
final class JoiningState implements RoleState {
    private final JoinRequester joinRequester;

    JoiningState(JoinRequester joinRequester) {
        this.joinRequester = joinRequester;
    }

    @Override
    public Replica.State state() {
        return Replica.State.JOINING;
    }

    @Override
    public void poll(long nowMs) {
        joinRequester.poll(nowMs);
    }
}
