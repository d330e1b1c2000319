package myrtleladder.consensus;

/**
 * The places at which the world can go wrong between two steps of an agreement; {@code
 * docs/faults.md} lists them. Tests fail at each in turn. Numbers are stable: new points come last.
 */
public enum FaultPoint {
    /** Before a candidate asks for votes. */
    VOTE_ASKING,
    /** A question for a vote has come and nothing was done about it. */
    VOTE_TAKEN,
    /** A vote is promised and not told. */
    VOTE_PROMISED,
    /** A vote is told. */
    VOTE_TOLD,
    /** A vote has come and is counted. */
    VOTE_COUNTED,
    /** Elected, and nobody knows. */
    ELECTED,
    /** A leader has written an entry into its own log alone. */
    ENTRY_WRITTEN,
    /** Before entries are sent to one life. */
    ENTRIES_SENDING,
    /** Entries have come and nothing was done about them. */
    ENTRIES_TAKEN,
    /** Entries are in the log and not acknowledged. */
    ENTRIES_KEPT,
    /** Entries are acknowledged. */
    ENTRIES_ACKNOWLEDGED,
    /** An acknowledgement has come and is counted. */
    ACKNOWLEDGEMENT_COUNTED,
    /** A decree is known to be one and not applied. */
    DECREED,
    /** A decree is applied. */
    APPLIED,
    /** Before a view is proposed. */
    VIEW_PROPOSING,
    /** A snapshot is made and not sent. */
    SNAPSHOT_MADE,
    /** Before a part of a snapshot is sent. */
    SNAPSHOT_SENDING,
    /** A part of a snapshot has come. */
    SNAPSHOT_TAKEN,
    /** A snapshot is in force and not acknowledged. */
    SNAPSHOT_RESTORED,
    /** A command is noted and not sent. */
    COMMAND_NOTED,
    /** A command of another one has come and is not in the log. */
    COMMAND_TAKEN
}
