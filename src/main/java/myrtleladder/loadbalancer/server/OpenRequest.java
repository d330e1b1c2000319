package myrtleladder.loadbalancer.server;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import myrtleladder.loadbalancer.policy.Request;

/**
 * One request from its arrival until it is concluded (answered, or its client has disconnected) and
 * all its attempts have ended. Holds a reference to the client's message until then.
 *
 * <p>Confined to the event loop.
 */
final class OpenRequest {
    final Request request;
    final FullHttpRequest message;
    final ResponseObserver observer;
    final List<Attempt> attempts = new ArrayList<>(1);
    long deadlineUs;
    ScheduledFuture<?> deadlineTimer;
    boolean isConcluded;

    OpenRequest(Request request, FullHttpRequest message, ResponseObserver observer, long nowUs) {
        this.request = request;
        this.message = message;
        this.observer = observer;
        this.deadlineUs = nowUs + request.timeLeftUs();
    }

    /** Whether an attempt is in flight. */
    boolean hasAttemptInFlight() {
        return attempts.stream().anyMatch(attempt -> !attempt.hasEnded);
    }

    /** One attempt to serve a request at an upstream; its number is its index in the request. */
    static final class Attempt {
        final String upstream;
        final long sentUs;

        /** Null if the attempt was never sent. */
        Exchange exchange;

        /** Null if only the request's deadline ends it. */
        ScheduledFuture<?> timeout;

        boolean mayHaveRun = true;
        boolean hasEnded;

        Attempt(String upstream, long sentUs) {
            this.upstream = upstream;
            this.sentUs = sentUs;
        }
    }
}
