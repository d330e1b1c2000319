package myrtleladder.testbed.fake;

/** The one clock of a run: microseconds since it was made, by the machine's steady clock. */
public final class TestbedClock {
    private final long origin = System.nanoTime();
    private final long unixMillis = System.currentTimeMillis();

    /** Microseconds since the run began. */
    public long micros() {
        return (System.nanoTime() - origin) / 1_000;
    }

    /** Unix time in milliseconds of a moment of the run, as discovery tells it. */
    public long unixMillis(long micros) {
        return unixMillis + micros / 1_000;
    }
}
