package myrtleladder.loadbalancer.policy;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Captures the messages that a class logs through java.util.logging, until it is closed. */
public final class LogCapture extends Handler implements AutoCloseable {
    private static final int PATIENCE_S = 20;
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final Logger logger;

    /** Starts to capture the messages of a class. */
    public LogCapture(Class<?> of) {
        logger = Logger.getLogger(of.getName());
        logger.addHandler(this);
    }

    /** Waits for the next message; fails after 20 s. */
    public String next() throws InterruptedException {
        String line = lines.poll(PATIENCE_S, TimeUnit.SECONDS);
        if (line == null) {
            throw new AssertionError("nothing was logged within " + PATIENCE_S + " s");
        }
        return line;
    }

    @Override
    public void publish(LogRecord line) {
        lines.add(line.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
        logger.removeHandler(this);
    }
}
