package myrtleladder.testbed.fault;

/** One thing that happens to a process or to one direction of a link. */
public sealed interface Fault {
    /** The process is gone, and with it its timers and what it had not kept. */
    record Kill(String process) implements Fault {}

    /** A killed process starts again under its name; one that runs is killed first. */
    record Restart(String process) implements Fault {}

    /** A planned end: the process is asked to finish what it has and to go. */
    record Drain(String process) implements Fault {}

    /** The process stands still; what comes for it waits. */
    record Pause(String process) implements Fault {}

    /** A process that stood still goes on, with all that waited at once. */
    record Resume(String process) implements Fault {}

    /** The wall clock of a process jumps by so many microseconds; its steady clock does not. */
    record StepClock(String process, long micros) implements Fault {}

    /**
     * The steady clock of a process runs at so many parts of a million off the true rate from now
     * on.
     */
    record Drift(String process, long partsPerMillion) implements Fault {}

    /** One direction of a link gets a fault. */
    record Link(String from, String to, LinkFault fault) implements Fault {}

    /** One direction of a link is as usual again. */
    record Heal(String from, String to) implements Fault {}

    /** The connections between two processes break with a reset at both ends. */
    record Reset(String one, String other) implements Fault {}

    /** All links are as usual again. */
    record HealAll() implements Fault {}
}
