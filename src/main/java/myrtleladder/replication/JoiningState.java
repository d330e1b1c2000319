package myrtleladder.replication;

/**
 * The role of a node outside of the group: it asks to be admitted and neither votes nor leads.
 *
 * <p>Invariant: the latest known view, if there is one, does not have this node in its group; once
 * one has, {@link QuorumState} makes the node a follower. Confined to the event loop.
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
