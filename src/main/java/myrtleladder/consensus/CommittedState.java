package myrtleladder.consensus;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is committed and applied on this node: commit index, view, state machine, and the last
 * command that each proposer had applied (client sessions; Ongaro's dissertation, section 6.3).
 * Entries are applied in the order of the log, each once.
 */
final class CommittedState {
    /** Proposers whose last sequence number is remembered, ended processes included. */
    private static final int MAX_PROPOSERS = 1_024;

    private final ReplicatedLog log;
    private final int retainedLogEntries;
    private final StateMachine stateMachine;
    private final ConsensusEnvironment environment;

    /** Last applied sequence number by proposer, least recently applied first. */
    private final Map<ProcessId, Long> appliedSequences = new LinkedHashMap<>();

    private View view = View.NONE;
    private long commitIndex;
    private long lastApplied;
    private Listener listener;

    /** Hears of what was applied. */
    interface Listener {
        /** An entry was applied, or a snapshot restored. */
        void onApplied(long nowUs);

        /** Applied entries were dropped from the log. */
        void onLogCompacted();
    }

    CommittedState(
            ReplicatedLog log,
            int retainedLogEntries,
            StateMachine stateMachine,
            ConsensusEnvironment environment) {
        this.log = log;
        this.retainedLogEntries = retainedLogEntries;
        this.stateMachine = stateMachine;
        this.environment = environment;
    }

    /** To be called once, before anything is committed. */
    void setListener(Listener listener) {
        this.listener = listener;
    }

    /** The view that was committed last. */
    View view() {
        return view;
    }

    long commitIndex() {
        return commitIndex;
    }

    long lastApplied() {
        return lastApplied;
    }

    /** The last applied sequence number of a proposer, 0 for none. */
    long appliedSequence(ProcessId proposer) {
        return appliedSequences.getOrDefault(proposer, 0L);
    }

    /**
     * Commits all entries up to an index that is greater than the commit index, and applies them.
     */
    void commitUpTo(long nowUs, long index) {
        commitIndex = index;
        while (lastApplied < commitIndex) {
            environment.onFaultPoint(FaultPoint.DECREED);
            LogEntry entry = log.get(lastApplied + 1);
            lastApplied++;
            apply(entry);
            listener.onApplied(nowUs);
            environment.onFaultPoint(FaultPoint.APPLIED);
        }
        if (log.size() > retainedLogEntries) {
            log.compact(lastApplied, view);
            listener.onLogCompacted();
        }
    }

    private void apply(LogEntry entry) {
        if (entry.isViewChange()) {
            applyView(entry);
        } else if (entry.kind() == LogEntry.Kind.COMMAND
                && entry.sequence() > appliedSequence(entry.proposer())) {
            applyCommand(entry);
        }
    }

    private void applyView(LogEntry entry) {
        view = entry.view();
        stateMachine.view(view);
        boolean isBootstrap = entry.kind() == LogEntry.Kind.BOOTSTRAP;
        environment.onEvent(
                new ConsensusEvent(
                        isBootstrap ? ConsensusEvent.Kind.FOUNDED : ConsensusEvent.Kind.VIEW,
                        view,
                        "decree " + entry.index()));
    }

    private void applyCommand(LogEntry entry) {
        appliedSequences.remove(entry.proposer()); // inserted again as the most recent one
        appliedSequences.put(entry.proposer(), entry.sequence());
        if (appliedSequences.size() > MAX_PROPOSERS) {
            appliedSequences.remove(appliedSequences.keySet().iterator().next());
        }
        FencingToken token = new FencingToken(entry.term().epoch(), entry.index());
        stateMachine.apply(token, entry.proposer(), entry.command());
    }

    /** The encoded snapshot of all that is applied. */
    byte[] snapshot() {
        return MessageEncoder.encode(
                new NodeSnapshot(view, appliedSequences, stateMachine.snapshot()));
    }

    /** Replaces the whole state, and the log up to {@code index}, by a snapshot. */
    void restore(long index, Term term, NodeSnapshot snapshot) {
        log.reset(index, term, snapshot.view());
        view = snapshot.view();
        commitIndex = index;
        lastApplied = index;
        appliedSequences.clear();
        appliedSequences.putAll(snapshot.appliedSequences());
        stateMachine.restore(snapshot.stateMachine());
    }
}
