package myrtleladder.controlplane;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import myrtleladder.protocol.Member;

/**
 * Waits for the acknowledgements of all replicas of a view, or for the first failure among them.
 *
 * <p>Invariant: the callback is called at most once. Confined to the event loop.
 */
final class ReplicaAcknowledgements {
    private final Set<Member> pending;
    private final Consumer<Boolean> done;
    private boolean isDone;

    /**
     * Creates an instance; {@code done} is called with true once all replicas have acknowledged, or
     * with false on the first failure.
     */
    ReplicaAcknowledgements(Collection<Member> replicas, Consumer<Boolean> done) {
        this.pending = new HashSet<>(replicas);
        this.done = done;
    }

    /** Records a member's response; ignored if the member is not one of the replicas. */
    void record(Member member, boolean isAcknowledged) {
        if (isDone || !pending.contains(member)) {
            return;
        }
        if (isAcknowledged) {
            pending.remove(member);
        }
        if (!isAcknowledged || pending.isEmpty()) {
            isDone = true;
            done.accept(isAcknowledged);
        }
    }
}
