package myrtleladder.cluster;

import java.util.Map;
import myrtleladder.consensus.ProcessId;
import myrtleladder.consensus.Term;
import myrtleladder.consensus.View;

/**
 * What a process knows of its fleet's consensus, for operators. The names of the components are the
 * keys of the JSON object that {@code GET /agreement} answers, so they stay when the types behind
 * them are renamed.
 *
 * @param leader null if it knows none
 * @param decides whether a majority of the voting members is reached
 * @param applied number of log entries applied here
 * @param waiting number of commands of this process that are not committed
 * @param refused number of datagrams dropped, by reason
 */
public record ConsensusStatus(
        ProcessStatus self,
        TermStatus term,
        ProcessStatus leader,
        boolean decides,
        ViewStatus view,
        long applied,
        int waiting,
        Map<String, Long> refused) {

    /** A status of the types of the protocol; {@code leader} is null if none is known. */
    public ConsensusStatus(
            ProcessId self,
            Term term,
            ProcessId leader,
            boolean decides,
            View view,
            long applied,
            int waiting,
            Map<String, Long> refused) {
        this(
                ProcessStatus.of(self),
                new TermStatus(term.epoch(), term.round()),
                leader == null ? null : ProcessStatus.of(leader),
                decides,
                new ViewStatus(view.epoch(), view.number(), view.startIds()),
                applied,
                waiting,
                refused);
    }

    /**
     * A process.
     *
     * @param life random number drawn at its start
     */
    public record ProcessStatus(String name, long life) {
        private static ProcessStatus of(ProcessId process) {
            return new ProcessStatus(process.name(), process.startId());
        }
    }

    /** A term of the consensus. */
    public record TermStatus(long epoch, long round) {}

    /**
     * The agreed view of the members.
     *
     * @param lives the random number drawn at the start of each member, by name
     */
    public record ViewStatus(long epoch, long number, Map<String, Long> lives) {}
}
