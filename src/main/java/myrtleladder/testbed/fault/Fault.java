package myrtleladder.testbed.fault;

/**
 * A fault of a process or of one direction of a link. Names of types and components appear in
 * recorded histories.
 */
public sealed interface Fault {
    /** The process is killed; its timers and all it had not stored are lost. */
    record Kill(String process) implements Fault {}

    /** A killed process starts again under its name; one that runs is killed first. */
    record Restart(String process) implements Fault {}

    /** The process is asked to shut down gracefully. */
    record Drain(String process) implements Fault {}

    /** The process is suspended; messages and timers wait for it. */
    record Pause(String process) implements Fault {}

    /** A suspended process resumes and gets all that waited at once. */
    record Resume(String process) implements Fault {}

    /**
     * The wall clock of a process jumps by {@code micros}, in microseconds; its steady clock does
     * not.
     */
    record StepClock(String process, long micros) implements Fault {}

    /**
     * From now on the steady clock of a process runs faster than true time by {@code
     * partsPerMillion}, slower if negative.
     */
    record Drift(String process, long partsPerMillion) implements Fault {}

    /** Replaces the fault of one direction of a link. */
    record Link(String from, String to, LinkFault fault) implements Fault {}

    /** Restores the default of one direction of a link. */
    record Heal(String from, String to) implements Fault {}

    /** Resets the connections between two processes at both ends. */
    record Reset(String one, String other) implements Fault {}

    /** Restores the default of all links. */
    record HealAll() implements Fault {}
}
