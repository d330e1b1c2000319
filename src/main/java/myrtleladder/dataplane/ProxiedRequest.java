package myrtleladder.dataplane;

import java.util.HashSet;
import java.util.Set;
import myrtleladder.configuration.Route;
import myrtleladder.configuration.Service;
import myrtleladder.configuration.Tenant;
import myrtleladder.dataplane.RequestCounters.Event;
import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;
import myrtleladder.http.ServerExchange;
import myrtleladder.protocol.InstanceRecord;

/**
 * A client's request from its admission to its one final response, over as many upstreams as that
 * takes: admission, pick, attempt, then response, retry or rejection.
 *
 * <p>Invariants: at most one attempt is current, and events of others are ignored; in {@link
 * State#COMPLETED} there is none and nothing more is sent to the client. A response that says that
 * the request did not run (503) is given only if no attempt can have run it.
 *
 * <p>Confined to the event loop. {@link RequestRouter} starts it, {@link ActiveRequests} checks its
 * timeouts, its attempts and the client's connection call back.
 */
final class ProxiedRequest implements Attempt.Listener {
    /** How long before the deadline a request ends, so that its answer arrives in time. */
    private static final long DEADLINE_MARGIN_MS = 40;

    /** Failures to connect after which a request is given up. */
    private static final int MAX_UNSENT_ATTEMPTS = 4;

    /** Misdirected Request: the upstream is not the expected incarnation (RFC 9110, 15.5.20). */
    private static final int MISDIRECTED_REQUEST = 421;

    private static final int BAD_REQUEST = 400;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private enum State {
        /** No attempt was made yet. */
        PICKING_UPSTREAM,
        /** An attempt was made; the client has received nothing. */
        AWAITING_RESPONSE,
        /** The client has received a head and events; other upstreams may resume the stream. */
        STREAMING_RESPONSE,
        /** The final response was given, or the client has left. */
        COMPLETED
    }

    private final DataPlane dataPlane;
    private final ServerExchange client;
    private final Route route;
    private final Service service;
    private final Tenant tenant;
    private final double quotaCost;
    private final PromptSegments prompt;
    private final String attemptId;
    private final long deadlineAtMs;
    private final ResponseAssembler response;
    private final Set<Upstream> triedUpstreams = new HashSet<>();
    private State state = State.PICKING_UPSTREAM;
    private Attempt current;
    private boolean mayHaveRun;
    private int unsentAttempts;

    /**
     * Creates the request.
     *
     * @param tenant null on routes that need none
     * @param quotaCost what the tenant's quota was charged, refunded if the request does not run
     */
    ProxiedRequest(
            DataPlane dataPlane,
            ServerExchange client,
            Route route,
            Service service,
            Tenant tenant,
            double quotaCost) {
        this.dataPlane = dataPlane;
        this.client = client;
        this.route = route;
        this.service = service;
        this.tenant = tenant;
        this.quotaCost = quotaCost;
        Headers headers = client.head().headers();
        this.prompt = PromptSegments.parse(headers.get(HeaderNames.PROMPT_PREFIX));
        this.attemptId = headers.get(HeaderNames.ATTEMPT_ID);
        long clientTimeoutMs = headers.number(HeaderNames.DEADLINE_MS, route.timeoutMs());
        this.deadlineAtMs = dataPlane.nowMs() + Math.min(clientTimeoutMs, route.timeoutMs());
        long lastEventId = headers.number(HeaderNames.LAST_EVENT_ID, ServerSentEventSplitter.NO_ID);
        this.response = new ResponseAssembler(client, lastEventId);
        client.onGone(this::clientDisconnected);
    }

    private void transitionTo(State next) {
        state = next;
        if (next == State.COMPLETED) {
            dataPlane.activeRequests().remove(this);
        }
    }

    /** Makes the first attempt or answers at once; called once. */
    void start() {
        tryNextUpstream();
    }

    /** Sends the request to an upstream that was not tried yet, or ends it if none can take it. */
    private void tryNextUpstream() {
        long nowMs = dataPlane.nowMs();
        if (isDeadlineReached(nowMs)) {
            giveUp();
            return;
        }
        PickResult pick =
                dataPlane
                        .picker()
                        .pick(service, prompt, triedUpstreams, weightsVersionToResume(), nowMs);
        if (pick == null) {
            count(Event.NO_UPSTREAM);
            giveUp();
            return;
        }
        if (isFirstAttempt()) {
            long retryAfterMs =
                    dataPlane.admission().retryAfterMs(route, service, pick, deadlineAtMs - nowMs);
            if (retryAfterMs > 0) {
                count(Event.NOT_ADMITTED);
                reject(retryAfterMs);
                return;
            }
        }
        sendTo(pick, nowMs);
    }

    private boolean isFirstAttempt() {
        return triedUpstreams.isEmpty();
    }

    /** To how many upstreams the request was sent, whatever came of it. */
    private int sentAttempts() {
        return triedUpstreams.size() - unsentAttempts;
    }

    private boolean isDeadlineReached(long nowMs) {
        return nowMs >= deadlineAtMs - DEADLINE_MARGIN_MS;
    }

    private void sendTo(PickResult pick, long nowMs) {
        if (state == State.PICKING_UPSTREAM) {
            transitionTo(State.AWAITING_RESPONSE);
        }
        Upstream upstream = pick.upstream();
        triedUpstreams.add(upstream);
        double prefillMs = pick.promptTokens() * dataPlane.prefillTime().msPerToken();
        response.startAttempt();
        RequestHead head =
                new RequestHead(
                        client.head().method(),
                        client.head().target(),
                        upstreamHeaders(upstream, prefillMs, nowMs));
        if (dataPlane.picker().shouldAnnounce(prompt)) {
            dataPlane.fleetLoads().recordPromptSent(prompt, upstream, nowMs);
        }
        current = new Attempt(pick, head, client.body(), dataPlane.scheduler(), this);
        current.start(dataPlane.connections(), !route.repeatable());
    }

    private Headers upstreamHeaders(Upstream upstream, double prefillMs, long nowMs) {
        Headers headers = HeaderForwarding.toUpstream(client.head().headers());
        long remainingMs = Math.max(1, deadlineAtMs - nowMs);
        headers.add(HeaderNames.DEADLINE_MS, Long.toString(remainingMs));
        headers.add(HeaderNames.EXPECT_INSTANCE, upstream.record().id);
        if (response.lastEventId() != ServerSentEventSplitter.NO_ID) {
            headers.add(HeaderNames.LAST_EVENT_ID, Long.toString(response.lastEventId()));
        }
        if (canResumeWithSameWeights(upstream)) {
            headers.add(HeaderNames.EXPECT_VERSION, Long.toString(response.weightsVersion()));
        }
        if (tenant != null) {
            headers.add(HeaderNames.TENANT, tenant.name());
        }
        if (service.engine() != null) {
            int priority = PrefillPriority.of(route, tenant, prefillMs);
            headers.add(HeaderNames.PRIORITY, Integer.toString(priority));
        }
        return headers;
    }

    /** The weights that made the events which the client has, if it has any. */
    private long weightsVersionToResume() {
        return state == State.STREAMING_RESPONSE
                ? response.weightsVersion()
                : InstanceRecord.UNKNOWN_WEIGHTS_VERSION;
    }

    /** Whether a stream is resumed at an upstream that reported the weights which began it. */
    private boolean canResumeWithSameWeights(Upstream upstream) {
        long weightsVersion = weightsVersionToResume();
        return weightsVersion != InstanceRecord.UNKNOWN_WEIGHTS_VERSION
                && upstream.record().weightsVersion == weightsVersion;
    }

    @Override
    public void onNotSent(Attempt attempt) {
        if (attempt != current) {
            return;
        }
        current = null;
        attempt.upstream().recordConnectFailure(dataPlane.nowMs());
        count(Event.NOT_SENT);
        retryUnsent();
    }

    private void retryUnsent() {
        unsentAttempts++;
        if (unsentAttempts < MAX_UNSENT_ATTEMPTS) {
            tryNextUpstream();
        } else {
            giveUp();
        }
    }

    @Override
    public void onWithdrawn(Attempt attempt) {
        if (attempt != current) {
            return;
        }
        current = null;
        retryUnsent();
    }

    @Override
    public void onResponseHead(Attempt attempt, ResponseHead head) {
        if (attempt != current) {
            return;
        }
        attempt.upstream()
                .updateReportedLoad(
                        head.headers().get(HeaderNames.UPSTREAM_LOAD), dataPlane.nowMs());
        if (isRejection(head)) {
            attemptRejected(attempt, head);
        } else if (!isResponseToThisRequest(head)) {
            count(Event.FOREIGN_RESPONSE);
            attempt.cancel();
            attemptFailed(attempt);
        } else if (state != State.STREAMING_RESPONSE) {
            response.acceptHead(head);
        } else if (head.status() >= 300) {
            attempt.cancel();
            attemptFailed(attempt);
        }
    }

    private static boolean isRejection(ResponseHead head) {
        return head.status() == MISDIRECTED_REQUEST
                || head.headers().get(HeaderNames.NOT_EXECUTED) != null;
    }

    /** Whether the response names this attempt and, if it is a success, has a signature. */
    private boolean isResponseToThisRequest(ResponseHead head) {
        if (attemptId != null && !attemptId.equals(head.headers().get(HeaderNames.ATTEMPT_ID))) {
            return false;
        }
        return head.status() >= 300 || head.headers().get(HeaderNames.UPSTREAM_SIGNATURE) != null;
    }

    /**
     * The upstream says that it did not run the request. Its 400 is the client's response, since
     * others would answer the same, unless the client has received a part of another response.
     */
    private void attemptRejected(Attempt attempt, ResponseHead head) {
        count(Event.REJECTED);
        if (head.status() == BAD_REQUEST && state != State.STREAMING_RESPONSE) {
            response.acceptHead(head);
            return;
        }
        current = null;
        attempt.cancel();
        if (head.status() == MISDIRECTED_REQUEST && !canResumeWithSameWeights(attempt.upstream())) {
            dataPlane.directory().removeGone(attempt.upstream());
        }
        if (dataPlane.retryPolicy().shouldRetryRejection(route, service, sentAttempts())) {
            tryNextUpstream();
        } else {
            giveUp();
        }
    }

    @Override
    public void onResponseBody(Attempt attempt, byte[] bytes) {
        if (attempt != current) {
            return;
        }
        if (isEventStream()) {
            response.splitEvents(bytes, (event, id) -> eventReceived(attempt, event, id));
            return;
        }
        boolean fits = response.bufferBody(bytes);
        if (!fits) {
            attempt.cancel();
            attemptFailed(attempt);
        }
    }

    private boolean isEventStream() {
        return route.streaming() && (state == State.STREAMING_RESPONSE || response.status() < 300);
    }

    private void eventReceived(Attempt attempt, byte[] event, long eventId) {
        if (attempt != current || state == State.COMPLETED) {
            return;
        }
        if (attempt.pendingPromptTokens() > 0 || !response.hasForwardedEvent()) {
            firstEventReceived(attempt);
        }
        if (response.isDuplicate(eventId)) {
            return;
        }
        if (state == State.AWAITING_RESPONSE) {
            response.beginStream();
            transitionTo(State.STREAMING_RESPONSE);
        }
        response.forwardEvent(event, eventId);
    }

    private void firstEventReceived(Attempt attempt) {
        long nowMs = dataPlane.nowMs();
        long timeToFirstEventMs = nowMs - attempt.sentAtMs();
        if (attempt.isWithoutBacklog()) {
            dataPlane.prefillTime().addSample(attempt.promptTokens(), timeToFirstEventMs);
        }
        double unexplainedMs = Math.max(0, timeToFirstEventMs - attempt.explainedMs());
        attempt.upstream().recordExtraDelay(unexplainedMs, nowMs);
        attempt.markPromptRead();
        attempt.upstream().prefixCache().recordSent(prompt, nowMs);
    }

    @Override
    public void onResponseComplete(Attempt attempt) {
        if (attempt != current) {
            return;
        }
        current = null;
        if (state == State.STREAMING_RESPONSE) {
            completeStream(attempt);
            return;
        }
        boolean isServerError = response.status() >= 500;
        if (isServerError && shouldRetryFailure()) {
            attempt.upstream().recordFailure(dataPlane.nowMs());
            response.keepFailure();
            tryNextUpstream();
            return;
        }
        recordOutcome(attempt, isServerError);
        byte[] body =
                route.streaming() && response.status() < 300
                        ? response.eventlessBody()
                        : response.bufferedBody();
        transitionTo(State.COMPLETED);
        response.respond(body);
    }

    private void completeStream(Attempt attempt) {
        response.forwardRemainder();
        recordOutcome(attempt, false);
        transitionTo(State.COMPLETED);
        response.endStream();
    }

    private void recordOutcome(Attempt attempt, boolean isServerError) {
        long nowMs = dataPlane.nowMs();
        if (isServerError) {
            attempt.upstream().recordFailure(nowMs);
        } else {
            attempt.upstream().recordSuccess(nowMs - attempt.sentAtMs());
        }
    }

    @Override
    public void onConnectionLost(Attempt attempt) {
        if (attempt == current) {
            attemptFailed(attempt);
        }
    }

    /** The request may have run and there is no complete response. */
    private void attemptFailed(Attempt attempt) {
        current = null;
        mayHaveRun = true;
        attempt.upstream().recordFailure(dataPlane.nowMs());
        count(Event.ATTEMPT_FAILED);
        if (shouldRetryFailure()) {
            tryNextUpstream();
        } else {
            giveUp();
        }
    }

    private boolean shouldRetryFailure() {
        boolean deadlineReached = isDeadlineReached(dataPlane.nowMs());
        return dataPlane
                .retryPolicy()
                .shouldRetryFailure(route, service, sentAttempts(), deadlineReached);
    }

    /** Ends the request at its deadline, or retries it if its upstream is unresponsive. */
    void checkTimeouts(long nowMs) {
        if (state == State.COMPLETED) {
            return;
        }
        if (isDeadlineReached(nowMs)) {
            giveUp();
            return;
        }
        if (current == null || current.state() == Attempt.State.CONNECTING) {
            return;
        }
        if (!dataPlane.unresponsiveDetector().isUnresponsive(current, service, nowMs)) {
            return;
        }
        current.upstream().markUnresponsive(nowMs);
        if (shouldRetryFailure()) {
            count(Event.UNRESPONSIVE);
            Attempt unresponsive = current;
            current = null;
            mayHaveRun = true;
            unresponsive.cancel();
            tryNextUpstream();
        }
    }

    /**
     * Ends the request as it stands: a rejection if it never ran, else the failure that an upstream
     * answered with, or an error if none did.
     */
    private void giveUp() {
        Attempt last = current;
        current = null;
        if (last != null) {
            mayHaveRun |= last.state() != Attempt.State.CONNECTING;
            last.cancel();
        }
        if (state == State.STREAMING_RESPONSE) {
            transitionTo(State.COMPLETED);
            response.abortStream();
        } else if (response.hasKeptFailure()) {
            transitionTo(State.COMPLETED);
            response.respondKeptFailure();
        } else if (mayHaveRun) {
            boolean late = isDeadlineReached(dataPlane.nowMs());
            transitionTo(State.COMPLETED);
            response.respond(late ? GATEWAY_TIMEOUT : BAD_GATEWAY, new Headers());
        } else {
            reject(dataPlane.admission().defaultRetryAfterMs());
        }
    }

    /** Ends a request that never ran. */
    private void reject(long retryAfterMs) {
        if (tenant != null) {
            dataPlane.quotas().refund(tenant, quotaCost);
        }
        Headers headers = new Headers();
        headers.add(HeaderNames.RETRY_AFTER, RequestRouter.retryAfter(retryAfterMs));
        transitionTo(State.COMPLETED);
        response.respond(SERVICE_UNAVAILABLE, headers);
    }

    private void clientDisconnected() {
        if (state == State.COMPLETED) {
            return;
        }
        Attempt last = current;
        current = null;
        if (last != null) {
            last.cancel();
        }
        transitionTo(State.COMPLETED);
    }

    private void count(Event event) {
        dataPlane.counters().increment(event);
    }
}
