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
 * Processes a client's request from the time it has its quota to its final response. Picks an
 * upstream, checks admission, makes an attempt, and then responds, retries at another upstream or
 * rejects the request.
 *
 * <p>Invariants: at most one attempt is current, and events of other attempts are ignored. In
 * {@link State#COMPLETED} there is no current attempt, and nothing more is sent to the client. A
 * response that says that the request was not executed (503) is sent only if no attempt can have
 * executed it.
 *
 * <p>Confined to the event loop. {@link RequestRouter} starts the request, {@link ActiveRequests}
 * checks its timeouts, and its attempts and the client's connection call back.
 */
final class ProxiedRequest implements Attempt.Listener {
    /** How long before its deadline a request is ended, so that the response arrives in time. */
    private static final long DEADLINE_MARGIN_MS = 40;

    /** Maximum number of attempts that could not be sent; then the request ends. */
    private static final int MAX_UNSENT_ATTEMPTS = 4;

    private static final int BAD_REQUEST = 400;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private enum State {
        /** No attempt has been made yet. */
        PICKING_UPSTREAM,
        /** An attempt has been made; nothing has been sent to the client. */
        AWAITING_RESPONSE,
        /** A head and events have been sent to the client; a retry resumes the stream. */
        STREAMING_RESPONSE,
        /** The final response has been sent, or the client has disconnected. */
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
    private Attempt currentAttempt;
    private boolean mayHaveExecuted;
    private int unsentAttemptCount;

    /**
     * Creates the request.
     *
     * @param tenant null on routes that need no tenant
     * @param quotaCost cost charged to the tenant's quota, refunded if the request is not executed
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

    /** Makes the first attempt, or responds at once if none is possible; called once. */
    void start() {
        tryNextUpstream();
    }

    /** Sends the request to an upstream not tried yet, or ends it if none is available. */
    private void tryNextUpstream() {
        long nowMs = dataPlane.nowMs();
        if (isDeadlineReached(nowMs)) {
            endWithoutRetry();
            return;
        }
        PickResult pick =
                dataPlane
                        .picker()
                        .pick(service, prompt, triedUpstreams, weightsVersionToResume(), nowMs);
        if (pick == null) {
            count(Event.NO_UPSTREAM);
            endWithoutRetry();
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

    /** Returns the number of attempts that sent the request, whatever their outcome. */
    private int sentAttemptCount() {
        return triedUpstreams.size() - unsentAttemptCount;
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
        currentAttempt = new Attempt(pick, head, client.body(), dataPlane.scheduler(), this);
        currentAttempt.start(dataPlane.connections(), !route.isIdempotent());
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

    /**
     * Returns the version of the model weights that generated the forwarded events, {@link
     * InstanceRecord#UNKNOWN_WEIGHTS_VERSION} if there are none.
     */
    private long weightsVersionToResume() {
        return state == State.STREAMING_RESPONSE
                ? response.weightsVersion()
                : InstanceRecord.UNKNOWN_WEIGHTS_VERSION;
    }

    /** Returns whether an upstream has the weights that generated the forwarded events. */
    private boolean canResumeWithSameWeights(Upstream upstream) {
        long weightsVersion = weightsVersionToResume();
        return weightsVersion != InstanceRecord.UNKNOWN_WEIGHTS_VERSION
                && upstream.record().weightsVersion == weightsVersion;
    }

    @Override
    public void onNotSent(Attempt attempt) {
        if (attempt != currentAttempt) {
            return;
        }
        currentAttempt = null;
        attempt.upstream().recordConnectFailure(dataPlane.nowMs());
        count(Event.NOT_SENT);
        retryUnsent();
    }

    private void retryUnsent() {
        unsentAttemptCount++;
        if (unsentAttemptCount < MAX_UNSENT_ATTEMPTS) {
            tryNextUpstream();
        } else {
            endWithoutRetry();
        }
    }

    @Override
    public void onWithdrawn(Attempt attempt) {
        if (attempt != currentAttempt) {
            return;
        }
        currentAttempt = null;
        retryUnsent();
    }

    @Override
    public void onResponseHead(Attempt attempt, ResponseHead head) {
        if (attempt != currentAttempt) {
            return;
        }
        attempt.upstream()
                .updateReportedLoad(
                        head.headers().get(HeaderNames.UPSTREAM_LOAD), dataPlane.nowMs());
        switch (UpstreamResponseKind.of(head, attemptId)) {
            case FOREIGN -> foreignResponseReceived(attempt);
            case NOT_EXECUTED -> attemptRejected(attempt, head);
            case EXECUTED -> headReceived(attempt, head);
            default -> throw new IllegalStateException("unknown kind of response");
        }
    }

    private void foreignResponseReceived(Attempt attempt) {
        count(Event.FOREIGN_RESPONSE);
        attempt.cancel();
        attemptFailed(attempt);
    }

    private void headReceived(Attempt attempt, ResponseHead head) {
        if (state != State.STREAMING_RESPONSE) {
            response.acceptHead(head);
        } else if (head.status() >= 300) {
            attempt.cancel();
            attemptFailed(attempt);
        }
    }

    /**
     * Handles a response that says that the upstream did not execute the request. A 400 is
     * forwarded to the client, since other upstreams would respond the same, unless a part of
     * another response has been forwarded already.
     */
    private void attemptRejected(Attempt attempt, ResponseHead head) {
        count(Event.REJECTED);
        if (head.status() == BAD_REQUEST && state != State.STREAMING_RESPONSE) {
            response.acceptHead(head);
            return;
        }
        currentAttempt = null;
        attempt.cancel();
        boolean isMisdirected = head.status() == UpstreamResponseKind.MISDIRECTED_REQUEST;
        if (isMisdirected && !canResumeWithSameWeights(attempt.upstream())) {
            dataPlane.directory().removeGone(attempt.upstream());
        }
        if (dataPlane.retryPolicy().shouldRetryRejection(route, service, sentAttemptCount())) {
            tryNextUpstream();
        } else {
            endWithoutRetry();
        }
    }

    @Override
    public void onResponseBody(Attempt attempt, byte[] bytes) {
        if (attempt != currentAttempt) {
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
        return route.isStreaming()
                && (state == State.STREAMING_RESPONSE || response.status() < 300);
    }

    private void eventReceived(Attempt attempt, byte[] event, long eventId) {
        if (attempt != currentAttempt || state == State.COMPLETED) {
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
        double extraDelayMs = Math.max(0, timeToFirstEventMs - attempt.knownPrefillMs());
        attempt.upstream().recordExtraDelay(extraDelayMs, nowMs);
        attempt.markPromptProcessed();
        attempt.upstream().prefixCache().recordSent(prompt, nowMs);
    }

    @Override
    public void onResponseComplete(Attempt attempt) {
        if (attempt != currentAttempt) {
            return;
        }
        currentAttempt = null;
        if (state == State.STREAMING_RESPONSE) {
            completeStream(attempt);
            return;
        }
        boolean isServerError = response.status() >= 500;
        if (isServerError && shouldRetryFailure()) {
            attempt.upstream().recordFailure(dataPlane.nowMs());
            response.saveFailure();
            tryNextUpstream();
            return;
        }
        recordOutcome(attempt, isServerError);
        byte[] body =
                route.isStreaming() && response.status() < 300
                        ? response.bodyWithoutEvents()
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
        if (attempt == currentAttempt) {
            attemptFailed(attempt);
        }
    }

    /** Handles an attempt that may have executed the request but gave no complete response. */
    private void attemptFailed(Attempt attempt) {
        currentAttempt = null;
        mayHaveExecuted = true;
        attempt.upstream().recordFailure(dataPlane.nowMs());
        count(Event.ATTEMPT_FAILED);
        if (shouldRetryFailure()) {
            tryNextUpstream();
        } else {
            endWithoutRetry();
        }
    }

    private boolean shouldRetryFailure() {
        boolean deadlineReached = isDeadlineReached(dataPlane.nowMs());
        return dataPlane
                .retryPolicy()
                .shouldRetryFailure(route, service, sentAttemptCount(), deadlineReached);
    }

    /** Ends the request at its deadline, or retries it if its upstream is unresponsive. */
    void checkTimeouts(long nowMs) {
        if (state == State.COMPLETED) {
            return;
        }
        if (isDeadlineReached(nowMs)) {
            endWithoutRetry();
            return;
        }
        if (currentAttempt == null || currentAttempt.state() == Attempt.State.CONNECTING) {
            return;
        }
        if (!dataPlane.unresponsiveDetector().isUnresponsive(currentAttempt, service, nowMs)) {
            return;
        }
        currentAttempt.upstream().markUnresponsive(nowMs);
        if (shouldRetryFailure()) {
            count(Event.UNRESPONSIVE);
            Attempt unresponsiveAttempt = currentAttempt;
            currentAttempt = null;
            mayHaveExecuted = true;
            unresponsiveAttempt.cancel();
            tryNextUpstream();
        }
    }

    /**
     * Ends the request without a further attempt. Aborts a stream that has begun; otherwise
     * responds with the saved failure of an upstream if there is one, with an error if the request
     * may have been executed, or else with a rejection.
     */
    private void endWithoutRetry() {
        Attempt lastAttempt = currentAttempt;
        currentAttempt = null;
        if (lastAttempt != null) {
            mayHaveExecuted |= lastAttempt.state() != Attempt.State.CONNECTING;
            lastAttempt.cancel();
        }
        if (state == State.STREAMING_RESPONSE) {
            transitionTo(State.COMPLETED);
            response.abortStream();
        } else if (response.hasSavedFailure()) {
            transitionTo(State.COMPLETED);
            response.respondWithSavedFailure();
        } else if (mayHaveExecuted) {
            boolean deadlineReached = isDeadlineReached(dataPlane.nowMs());
            transitionTo(State.COMPLETED);
            response.respond(deadlineReached ? GATEWAY_TIMEOUT : BAD_GATEWAY, new Headers());
        } else {
            reject(dataPlane.admission().defaultRetryAfterMs());
        }
    }

    /** Rejects a request that was not executed and refunds its quota. */
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
        if (state != State.COMPLETED) {
            cancel();
        }
    }

    /** Ends the request after an unexpected failure by closing the client's connection. */
    void abort() {
        cancel();
        response.abortStream();
    }

    private void cancel() {
        Attempt lastAttempt = currentAttempt;
        currentAttempt = null;
        transitionTo(State.COMPLETED);
        if (lastAttempt != null) {
            lastAttempt.cancel();
        }
    }

    private void count(Event event) {
        dataPlane.counters().increment(event);
    }
}
