package myrtleladder.testbed.simulation;

/**
 * A pure core as the world hosts it: events come in as calls, actions go out through {@link
 * Actions} from within them. It keeps no time and draws no chance of its own. Times are
 * microseconds of its steady clock.
 */
public interface ProtocolCore {
    /** The process has just started. */
    void started(long now);

    /** A message has come. */
    void received(long now, String from, byte[] message);

    /** A timer is due. */
    void due(long now, String token);

    /** Where actions go. */
    interface Actions {
        /** Sends a message that may be late, lost, doubled or overtaken. */
        void send(String to, byte[] message);

        /** Asks for {@link ProtocolCore#due} after a delay by the steady clock of this process. */
        void timer(String token, long delay);

        /** What the wall clock of this process shows; it may jump. */
        long wall();

        /** A line for the history. */
        void note(String text);
    }

    /**
     * Makes the core of a process each time it starts; what it keeps over a crash hangs on the
     * maker.
     */
    interface Maker {
        /** A core for one life of the process, with a seed of its own. */
        ProtocolCore make(String name, long seed, Actions actions);
    }
}
