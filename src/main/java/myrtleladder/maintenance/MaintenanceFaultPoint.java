package myrtleladder.maintenance;

/**
 * The places at which the world can go wrong between two steps of the work on machines; {@code
 * docs/faults.md} lists them. Tests fail at each in turn. Numbers are stable: new points come last.
 */
public enum MaintenanceFaultPoint {
    /** Before a leader proposes that it is a machine's turn. */
    ORDERING,
    /** It is known to be a machine's turn, and nothing was done about it. */
    ORDERED,
    /** Nothing is in flight at a machine, and nobody was told. */
    CLEARING,
    /** Before a leader proposes a permit. */
    GRANTING,
    /** A permit is known. */
    GRANTED,
    /** Before a process asks for leave. */
    LEAVE_ASKING,
    /** A question for leave has come and nothing was done about it. */
    LEAVE_ASKED,
    /** Leave is noted and not told. */
    LEAVE_GIVEN,
    /** Leave has come and is not in force. */
    LEAVE_TAKEN,
    /** The work is known to be done. */
    DONE,
    /** Before a machine is proposed to be back. */
    TAKING_IN,
    /** A plan is known to be whole. */
    PLANNED
}
