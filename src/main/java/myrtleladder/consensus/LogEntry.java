package myrtleladder.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * An entry of the log. Of a view only the changes are sent, so that an entry fits into a datagram
 * however large the cluster is; the log that it is appended to adds the view that results.
 *
 * @param memberChanges processes by name that join or replace another; {@link
 *     ObservedMembership#ABSENT} for names that leave
 * @param view the view after these changes; null before it is appended, and for other kinds
 * @param proposer who proposed a command, else null
 * @param sequence number of a command among those of its proposer, or number of a view
 * @param command passed to the state machine, else null
 */
record LogEntry(
        long index,
        Term term,
        Kind kind,
        Map<String, Long> memberChanges,
        View view,
        ProcessId proposer,
        long sequence,
        byte[] command) {
    /** The kind of an entry with its name on the wire. */
    enum Kind {
        /** A leader begins; commits what earlier terms have left (Raft, section 5.4.2). */
        LEADER_CHANGE("LEADS"),
        /** The cluster is bootstrapped anew, with those who voted for it. */
        BOOTSTRAP("FOUND"),
        /** Members join, leave or are replaced. */
        VIEW_CHANGE("VIEW"),
        /** A command for the state machine. */
        COMMAND("COMMAND");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        String wireName() {
            return wireName;
        }

        /**
         * The kind of that name.
         *
         * @throws IllegalArgumentException if there is none
         */
        static Kind ofWireName(String name) {
            for (Kind kind : values()) {
                if (kind.wireName.equals(name)) {
                    return kind;
                }
            }
            throw new IllegalArgumentException("no kind of entry: " + name);
        }
    }

    boolean isViewChange() {
        return kind == Kind.BOOTSTRAP || kind == Kind.VIEW_CHANGE;
    }

    /** This entry with the view that results when it follows a view. */
    LogEntry withViewAfter(View before) {
        if (!isViewChange()) {
            return this;
        }
        boolean isBootstrap = kind == Kind.BOOTSTRAP;
        Map<String, Long> members = new TreeMap<>(isBootstrap ? Map.of() : before.startIds());
        memberChanges.forEach(
                (name, startId) -> {
                    if (startId == ObservedMembership.ABSENT) {
                        members.remove(name);
                    } else {
                        members.put(name, startId);
                    }
                });
        long epoch = isBootstrap ? term.epoch() : before.epoch();
        View after = new View(epoch, sequence, members);
        return new LogEntry(index, term, kind, memberChanges, after, proposer, sequence, command);
    }
}
