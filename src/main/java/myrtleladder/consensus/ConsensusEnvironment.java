package myrtleladder.consensus;

import java.io.UncheckedIOException;

/**
 * What a {@link ConsensusNode} needs from the process that runs it: network, timers, wall clock and
 * a place for events. All methods are called on the thread that calls the node.
 */
public interface ConsensusEnvironment {
    /**
     * Sends a datagram, which may be delayed, lost, duplicated or reordered.
     *
     * @param recipient name of the member
     * @throws UncheckedIOException if the datagram can't be handed to the network; it counts as
     *     lost
     */
    void send(String recipient, byte[] datagram);

    /** Calls {@link ConsensusNode#onTimer} once after a delay by the steady clock. */
    void scheduleTimer(String timer, long delayUs);

    /** The wall clock in microseconds since the Unix epoch; it may jump. */
    long wallClockUs();

    /** Reports a change that operators may want to know of. */
    void onEvent(ConsensusEvent event);

    /** Reports that execution passes a fault point; only tests act on it. */
    default void onFaultPoint(FaultPoint point) {}
}
