package myrtleladder.loadbalancer.admin;

import io.netty.util.concurrent.Future;
import java.util.Optional;

/** Waits for the results of queries that run on the load balancer's event loop. */
final class EventLoopQueries {
    /** An event loop that does not answer within this time is reported as busy. */
    private static final long TIMEOUT_MS = 1_000;

    private EventLoopQueries() {}

    /**
     * Blocks until a query completes and returns its result; empty if it timed out, failed or has a
     * null result.
     */
    static <T> Optional<T> await(Future<T> query) {
        boolean isDone = query.awaitUninterruptibly(TIMEOUT_MS);
        return isDone && query.isSuccess() ? Optional.ofNullable(query.getNow()) : Optional.empty();
    }
}
