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
 * Carries out the decision module's attempts and final answers for the requests that are open, and
 * reports the ends of attempts to it. Whatever the module decides, a request gets at most one final
 * response, gets it by its deadline, and is sent no more often than the settings allow.
 *
 * <p>Confined to the event loop.
 */
final class RequestDispatcher {
    /** Header field with the time that is left for a request, in milliseconds. */
    static final String TIME_LEFT_HEADER = "X-Time-Left-Ms";

    /** Header field with the load report of an upstream. */
    private static final String LOAD_HEADER = "X-Backend-Load";

    /** Header fields of the client's own connection, not to be forwarded (RFC 9110, 7.6.1). */
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

    /** Null unless another component has a say on each attempt. */
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

    /** From now on each attempt is subject to this admission. */
    void setAdmission(TrafficControl.AttemptAdmission admission) {
        this.admission = admission;
    }

    /** The number of requests that are open. */
    int openRequests() {
        return openRequests.size();
    }

    /** Whether a request with this id is open. */
    boolean isOpen(String id) {
        return openRequests.containsKey(id);
    }

    /** The number of attempts that are in flight to an upstream. */
    int attemptsInFlight(String upstream) {
        return (int)
                openRequests.values().stream()
                        .flatMap(open -> open.attempts.stream())
                        .filter(attempt -> !attempt.hasEnded && attempt.upstream.equals(upstream))
                        .count();
    }

    /**
     * Takes over a request and the reference to its message; exactly one response follows unless
     * the client leaves first.
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

    /** The client of a request has closed its connection. */
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
     * The deadline of a request: times out its attempts, and responds if the module, notified of
     * that, does not.
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

    /** Fails all requests that are open: a graceful shutdown has run out of time. */
    void failAll() {
        for (OpenRequest open : List.copyOf(openRequests.values())) {
            // Otherwise the module, notified of the attempt's end, would send another one.
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
     * Sends an attempt, or reports to the module that it may not be sent.
     *
     * @param timeoutUs of this attempt in microseconds; 0 for the request's deadline alone
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

    /** {@code open} is null if the request is open no more. */
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
     * Called when an attempt has its connection, which may take up to the connect timeout. Returns
     * whether it may still begin; if so, its message has the time that is left now.
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
     * Until when this attempt may begin as the retry of an earlier one that may have run: so long
     * do upstreams know the idempotency key.
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

    /** A copy that shares the body and has a reference of its own to it, for the exchange. */
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

    /** {@code response} is null without one; the caller releases it. */
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
        long tookUs = clock.nowUs() - attempt.sentUs;
        if (admission != null) {
            admission.attemptEnded(attempt.upstream, outcome == Outcome.OK, tookUs);
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
                                        tookUs,
                                        open.isConcluded,
                                        load)));
    }

    /** Final answer of the module: rejected, with advice in microseconds, 0 for none. */
    void reject(String id, long retryAfterUs) {
        OpenRequest open = openRequests.get(id);
        if (open != null && !open.isConcluded) {
            counters.rejected++;
            conclude(open);
            open.observer.onRejected(retryAfterUs);
        }
    }

    /** Final answer of the module: failed. */
    void fail(String id) {
        OpenRequest open = openRequests.get(id);
        if (open != null && !open.isConcluded) {
            counters.failed++;
            conclude(open);
            open.observer.onFailure();
        }
    }
}
