package myrtleladder.loadbalancer.admin;

import io.netty.util.concurrent.Future;
import java.util.Optional;

/** Waits for what the event loop of the load balancer answers. */
final class EventLoopQueries {
    /** A loop that does not answer within a second is reported as busy. */
    private static final long TIMEOUT_MS = 1_000;

    private EventLoopQueries() {}

    /** The result; empty if it did not come in time, or the query failed. Blocks the caller. */
    static <T> Optional<T> await(Future<T> query) {
        boolean isDone = query.awaitUninterruptibly(TIMEOUT_MS);
        return isDone && query.isSuccess() ? Optional.ofNullable(query.getNow()) : Optional.empty();
    }
}
