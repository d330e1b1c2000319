package myrtleladder.cluster;

import java.util.List;
import java.util.Map;
import myrtleladder.gossip.MemberUpdate;

/**
 * What a process knows of the membership of its fleet, for operators. The names of the components
 * are the keys of the JSON object that {@code GET /members} answers, so they stay when the types
 * behind them are renamed.
 *
 * @param self this process
 * @param present number of members that are present, this process among them
 * @param health local health of this process, from 0 (healthy) to 8
 * @param digest of the member table; equal for processes that agree
 * @param refused number of datagrams dropped, by reason
 * @param members all members, those that are gone for a while too
 */
public record MembershipStatus(
        Member self,
        int present,
        int health,
        long digest,
        Map<String, Long> refused,
        List<ListedMember> members) {

    /** A status of the types of the protocol. */
    public MembershipStatus(
            MemberUpdate self,
            int present,
            int health,
            long digest,
            Map<String, Long> refused,
            List<ListedMember> members) {
        this(Member.of(self), present, health, digest, refused, members);
    }

    /**
     * A member.
     *
     * @param life random number drawn at the start of the process
     * @param rival whether another live process has its name
     * @param by name of the member that reported the state
     */
    public record Member(
            String name,
            long life,
            long incarnation,
            String state,
            boolean rival,
            String address,
            String by,
            Metadata meta) {
        private static Member of(MemberUpdate update) {
            return new Member(
                    update.name(),
                    update.startId(),
                    update.incarnation(),
                    update.state().name(),
                    update.hasNameConflict(),
                    update.address(),
                    update.reportedBy(),
                    new Metadata(
                            update.metadata().zone(),
                            update.metadata().build(),
                            update.metadata().startedMs(),
                            update.metadata().capabilities()));
        }
    }

    /**
     * What a member publishes about itself.
     *
     * @param startedMs Unix time of its start in milliseconds
     * @param can its capabilities
     */
    public record Metadata(String zone, String build, long startedMs, List<String> can) {}

    /**
     * A member and for how long it has been in this state.
     *
     * @param seconds since the last update on it
     */
    public record ListedMember(Member claim, double seconds) {
        /** A member as the protocol has it. */
        public ListedMember(MemberUpdate update, double seconds) {
            this(Member.of(update), seconds);
        }
    }
}
