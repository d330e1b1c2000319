package myrtleladder.loadbalancer.server;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.util.AsciiString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import myrtleladder.loadbalancer.policy.AttemptEnd;
import myrtleladder.loadbalancer.policy.Idempotency;
import myrtleladder.loadbalancer.policy.Limits;
import myrtleladder.loadbalancer.policy.LoadBalancer;
import myrtleladder.loadbalancer.policy.LoadReport;
import myrtleladder.loadbalancer.policy.Outcome;
import myrtleladder.loadbalancer.policy.Request;
import myrtleladder.loadbalancer.policy.RequestClass;
import myrtleladder.loadbalancer.policy.Settings;
import myrtleladder.loadbalancer.server.OpenRequest.Attempt;

/**
 * Executes the decision module's attempts and final responses for the open requests, and reports
 * the ends of attempts to the module. Regardless of the module's decisions, a request gets at most
 * one final response, gets it by its deadline, and has no more attempts than the settings allow.
 *
 * <p>Confined to the event loop.
 */
final class RequestDispatcher {
    /** Header field with the remaining time of a request, in milliseconds. */
    static final String TIME_LEFT_HEADER = "X-Time-Left-Ms";

    /** Header field with the load report of an upstream. */
    private static final String LOAD_HEADER = "X-Backend-Load";

    /** Hop-by-hop header fields, which must not be forwarded (RFC 9110, 7.6.1). */
    private static final List<AsciiString> HOP_BY_HOP_HEADERS =
            List.of(HttpHeaderNames.CONNECTION, HttpHeaderNames.TE, HttpHeaderNames.UPGRADE);

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EventSerializer events;
    private final LoadBalancer balancer;
    private final UpstreamConnectionPool connections;
    private final LoadReportParser loadReports;
    private final RequestCounters counters;
    private final List<RequestClass> classes;
    private final Limits limits;
    private final Map<String, OpenRequest> openRequests = new HashMap<>();

    /** Decides on each attempt whether it may be sent; null if nothing restricts attempts. */
    private TrafficControl.AttemptAdmission admission;

    RequestDispatcher(
            EventLoop loop,
            MonotonicClock clock,
            EventSerializer events,
            LoadBalancer balancer,
            UpstreamConnectionPool connections,
            LoadReportParser loadReports,
            RequestCounters counters,
            Settings settings) {
        this.loop = loop;
        this.clock = clock;
        this.events = events;
        this.balancer = balancer;
        this.connections = connections;
        this.loadReports = loadReports;
        this.counters = counters;
        this.classes = settings.classes();
        this.limits = settings.limits();
    }

    /** Sets the component that decides on each attempt whether it may be sent. */
    void setAdmission(TrafficControl.AttemptAdmission admission) {
        this.admission = admission;
    }

    /** Returns the number of open requests. */
    int openRequests() {
        return openRequests.size();
    }

    /** Whether a request with this id is open. */
    boolean isOpen(String id) {
        return openRequests.containsKey(id);
    }

    /** Returns the number of attempts in flight to an upstream. */
    int attemptsInFlight(String upstream) {
        return (int)
                openRequests.values().stream()
                        .flatMap(open -> open.attempts.stream())
                        .filter(attempt -> !attempt.hasEnded && attempt.upstream.equals(upstream))
                        .count();
    }

    /**
     * Takes ownership of a request and of the reference to its message. The observer gets exactly
     * one response unless the client disconnects first.
     */
    void dispatch(Request request, FullHttpRequest message, ResponseObserver observer) {
        counters.requests++;
        if (limits.maxOpenRequests() > 0 && openRequests.size() >= limits.maxOpenRequests()) {
            counters.rejected++;
            message.release();
            observer.onRejected(0);
            return;
        }
        OpenRequest open = new OpenRequest(request, message, observer, clock.nowUs());
        openRequests.put(request.id(), open);
        open.deadlineTimer =
                loop.schedule(() -> expire(open), request.timeLeftUs(), TimeUnit.MICROSECONDS);
        events.run(() -> balancer.onRequest(clock.nowUs(), request));
    }

    /** Handles the disconnect of a request's client. */
    void clientDisconnected(String id) {
        OpenRequest open = openRequests.get(id);
        if (open != null && !open.isConcluded) {
            concludeAbandoned(open);
            events.run(() -> balancer.onClientDisconnected(clock.nowUs(), id));
        }
    }

    private void concludeAbandoned(OpenRequest open) {
        counters.abandoned++;
        conclude(open);
    }

    /**
     * Handles the deadline of a request: times out its attempts, and fails the request if the
     * module does not answer it after these events.
     */
    private void expire(OpenRequest open) {
        for (int i = 0; i < open.attempts.size(); i++) {
            abandonAttempt(open, i, Outcome.TIMEOUT);
        }
        events.run(
                () -> {
                    if (!open.isConcluded) {
                        counters.failed++;
                        conclude(open);
                        open.observer.onFailure();
                        balancer.onClientDisconnected(clock.nowUs(), open.request.id());
                    }
                });
    }

    /** Fails all open requests at the end of the graceful shutdown period. */
    void failAll() {
        for (OpenRequest open : List.copyOf(openRequests.values())) {
            // Otherwise the module would send a retry when it is notified of the attempt's end.
            open.deadlineUs = clock.nowUs();
            expire(open);
        }
    }

    private void conclude(OpenRequest open) {
        open.isConcluded = true;
        removeIfDone(open);
    }

    private void removeIfDone(OpenRequest open) {
        if (open.isConcluded
                && !open.hasAttemptInFlight()
                && openRequests.remove(open.request.id(), open)) {
            open.deadlineTimer.cancel(false);
            open.message.release();
        }
    }

    /**
     * Sends an attempt, or reports to the module that the attempt was not sent.
     *
     * @param timeoutUs timeout of this attempt in microseconds; 0 if only the request's deadline
     *     applies
     */
    void send(String id, String upstream, long timeoutUs) {
        long nowUs = clock.nowUs();
        OpenRequest open = openRequests.get(id);
        if (open != null && !open.isConcluded && !open.observer.isConnected()) {
            concludeAbandoned(open);
        }
        if (!canSend(open, upstream, nowUs)) {
            reportNeverSent(open, id, upstream);
            return;
        }
        int number = open.attempts.size();
        Attempt attempt = new Attempt(upstream, nowUs);
        open.attempts.add(attempt);
        long endUs =
                timeoutUs == 0
                        ? open.deadlineUs
                        : Math.min(nowUs + Math.max(0, timeoutUs), open.deadlineUs);
        FullHttpRequest forwarded = forwardedCopy(open.message);
        attempt.exchange =
                connections.start(
                        upstream,
                        forwarded,
                        () -> beginAttempt(open, number, forwarded, endUs),
                        (outcome, response) -> attemptEnded(open, number, outcome, response));
        if (endUs < open.deadlineUs) {
            attempt.timeout =
                    loop.schedule(
                            () -> abandonAttempt(open, number, Outcome.TIMEOUT),
                            endUs - nowUs,
                            TimeUnit.MICROSECONDS);
        }
    }

    private boolean canSend(OpenRequest open, String upstream, long nowUs) {
        return open != null
                && !open.isConcluded
                && open.attempts.size() < limits.maxAttempts()
                && open.deadlineUs > nowUs
                && (!open.hasAttemptInFlight() || limits.hedging())
                && (admission == null || admission.canSend(upstream));
    }

    /** {@code open} is null if the request is no longer open. */
    private void reportNeverSent(OpenRequest open, String id, String upstream) {
        int number = open == null ? 0 : open.attempts.size();
        if (open != null) {
            Attempt attempt = new Attempt(upstream, clock.nowUs());
            attempt.hasEnded = true;
            attempt.mayHaveRun = false;
            open.attempts.add(attempt);
        }
        events.run(
                () ->
                        balancer.onAttemptEnd(
                                clock.nowUs(),
                                new AttemptEnd(
                                        id,
                                        number,
                                        upstream,
                                        Outcome.MOOT,
                                        0,
                                        open == null || open.isConcluded,
                                        null)));
    }

    /**
     * Called when the connection of an attempt is established, which may take up to the connect
     * timeout. Returns whether the attempt may still begin; if so, sets the header field with the
     * remaining time.
     */
    private boolean beginAttempt(
            OpenRequest open, int number, FullHttpRequest forwarded, long endUs) {
        long nowUs = clock.nowUs();
        if (!open.isConcluded && !open.observer.isConnected()) {
            concludeAbandoned(open);
            events.run(() -> balancer.onClientDisconnected(clock.nowUs(), open.request.id()));
        }
        if (open.isConcluded || nowUs >= endUs || nowUs >= retryableUntilUs(open, number)) {
            return false;
        }
        forwarded.headers().set(TIME_LEFT_HEADER, (endUs - nowUs) / 1_000);
        return true;
    }

    /**
     * Returns until when this attempt may begin. A retry of an attempt that may have run must begin
     * before upstreams forget its idempotency key.
     */
    private long retryableUntilUs(OpenRequest open, int number) {
        RequestClass requestClass = classes.get(open.request.classIndex());
        if (requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY) {
            return Long.MAX_VALUE;
        }
        return open.attempts.subList(0, number).stream()
                .filter(attempt -> attempt.mayHaveRun)
                .mapToLong(attempt -> attempt.sentUs + requestClass.keyRetentionUs())
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns a copy for the exchange that shares the body and holds its own reference to it. */
    private static FullHttpRequest forwardedCopy(FullHttpRequest message) {
        FullHttpRequest copy = message.retainedDuplicate();
        HOP_BY_HOP_HEADERS.forEach(copy.headers()::remove);
        return copy;
    }

    /** Cancels an attempt that is in flight, at the module's request. */
    void cancel(String id, int number) {
        OpenRequest open = openRequests.get(id);
        if (open != null && number >= 0 && number < open.attempts.size()) {
            abandonAttempt(open, number, Outcome.CANCELLED);
        }
    }

    private void abandonAttempt(OpenRequest open, int number, Outcome outcome) {
        Attempt attempt = open.attempts.get(number);
        if (!attempt.hasEnded) {
            attempt.exchange.abandon();
            attemptEnded(open, number, outcome, null);
        }
    }

    /** {@code response} is null if there is none; the caller releases it. */
    private void attemptEnded(
            OpenRequest open, int number, Outcome outcome, FullHttpResponse response) {
        Attempt attempt = open.attempts.get(number);
        attempt.hasEnded = true;
        attempt.mayHaveRun = !outcome.neverRan;
        counters.attemptEnded(outcome);
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        if (outcome == Outcome.OK && !open.isConcluded) {
            counters.served++;
            open.isConcluded = true;
            open.observer.onSuccess(response.content().retain());
        }
        LoadReport load =
                response == null ? null : loadReports.parse(response.headers().get(LOAD_HEADER));
        removeIfDone(open);
        long durationUs = clock.nowUs() - attempt.sentUs;
        if (admission != null) {
            admission.attemptEnded(attempt.upstream, outcome == Outcome.OK, durationUs);
        }
        events.run(
                () ->
                        balancer.onAttemptEnd(
                                clock.nowUs(),
                                new AttemptEnd(
                                        open.request.id(),
                                        number,
                                        attempt.upstream,
                                        outcome,
                                        durationUs,
                                        open.isConcluded,
                                        load)));
    }

    /** Rejects a request; {@code retryAfterUs} is 0 if the client gets no advice when to retry. */
    void reject(String id, long retryAfterUs) {
        OpenRequest open = openRequests.get(id);
        if (open != null && !open.isConcluded) {
            counters.rejected++;
            conclude(open);
            open.observer.onRejected(retryAfterUs);
        }
    }

    /** Fails a request. */
    void fail(String id) {
        OpenRequest open = openRequests.get(id);
        if (open != null && !open.isConcluded) {
            counters.failed++;
            conclude(open);
            open.observer.onFailure();
        }
    }
}
