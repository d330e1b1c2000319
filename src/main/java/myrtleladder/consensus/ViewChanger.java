package myrtleladder.consensus;

import java.util.Map;
import java.util.TreeMap;
import myrtleladder.consensus.LeaderState.PeerProgress;

/**
 * Proposes changes of the view on the leader: what a quorum has observed alike for long enough
 * (Rapid, section 4.2: a stable cut, and all that is known to change at once). Voting members leave
 * and join in separate views, since quorums of a view and the next have to intersect; and none
 * leaves that a quorum needs.
 */
final class ViewChanger {
    private final QuorumState quorum;
    private final ConsensusSettings settings;
    private final ReplicatedLog log;
    private final CommittedState committed;
    private final ObservedMembership membership;
    private final LogReplicator replicator;
    private final ConsensusEnvironment environment;

    ViewChanger(
            QuorumState quorum,
            ConsensusSettings settings,
            ReplicatedLog log,
            CommittedState committed,
            ObservedMembership membership,
            LogReplicator replicator,
            ConsensusEnvironment environment) {
        this.quorum = quorum;
        this.settings = settings;
        this.log = log;
        this.committed = committed;
        this.membership = membership;
        this.replicator = replicator;
        this.environment = environment;
    }

    /** Proposes the next view if there is something to change; one at a time. */
    void proposeIfNeeded(long nowUs, LeaderState leader) {
        if (!isSettled()) {
            return;
        }
        View members = log.view();
        Map<String, Long> removals = new TreeMap<>();
        Map<String, Long> additions = new TreeMap<>();
        long votersLeft =
                members.startIds().keySet().stream().filter(settings::isCouncilMember).count();
        for (Map.Entry<String, Long> change : membership.stableChanges(nowUs).entrySet()) {
            String name = change.getKey();
            long startId = change.getValue();
            if (!isObservedByQuorum(leader, name, startId) || name.equals(quorum.self().name())) {
                continue;
            }
            boolean isCouncilMember = settings.isCouncilMember(name);
            boolean isAbsent = startId == ObservedMembership.ABSENT;
            if (members.startIds().containsKey(name) && (isCouncilMember || isAbsent)) {
                if (!isCouncilMember || --votersLeft >= settings.quorumSize()) {
                    removals.put(name, ObservedMembership.ABSENT);
                }
            } else if (isCaughtUp(leader, new ProcessId(name, startId))) {
                additions.put(name, startId);
            }
        }
        Map<String, Long> changes = removals.isEmpty() ? additions : removals;
        if (!changes.isEmpty()) {
            environment.onFaultPoint(FaultPoint.VIEW_PROPOSING);
            replicator.appendViewChange(nowUs, changes);
        }
    }

    /** Whether the log ends in this term and all of it is committed. */
    private boolean isSettled() {
        return log.lastTerm().equals(quorum.term())
                && !log.hasUncommittedView(committed.commitIndex())
                && committed.commitIndex() >= log.lastIndex();
    }

    /** Whether a quorum, this leader among it, reports the same change to the same view. */
    private boolean isObservedByQuorum(LeaderState leader, String name, long startId) {
        View members = log.view();
        long others =
                leader.peers().entrySet().stream()
                        .filter(p -> settings.isCouncilMember(p.getKey().name()))
                        .filter(p -> members.has(p.getKey()))
                        .filter(p -> hasObserved(p.getValue(), members, name, startId))
                        .count();
        return others + 1 >= settings.quorumSize();
    }

    private static boolean hasObserved(PeerProgress peer, View members, String name, long startId) {
        return peer.viewNumber == members.number()
                && Long.valueOf(startId).equals(peer.observedChanges.get(name));
    }

    private boolean isCaughtUp(LeaderState leader, ProcessId member) {
        PeerProgress peer = leader.peers().get(member);
        return peer != null && peer.matchIndex >= committed.commitIndex();
    }
}
