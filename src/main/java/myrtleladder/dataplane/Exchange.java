package myrtleladder.dataplane;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Set;
import myrtleladder.configuration.Route;
import myrtleladder.configuration.Service;
import myrtleladder.configuration.Tenant;
import myrtleladder.io.Headers;
import myrtleladder.io.RequestHead;
import myrtleladder.io.ResponseHead;
import myrtleladder.io.ServerExchange;
import myrtleladder.protocol.InstanceRecord;

/**
 * A client's request from its arrival to its one final answer, over as many upstreams as that
 * takes.
 */
final class Exchange implements Attempt.Listener {
    private static final byte[] NO_BYTES = {};
    private static final long MARGIN = 40;
    private static final int MOST_UNSENT = 4;
    private static final int MOST_BODY = 4 * 1_024 * 1_024;
    private static final long MODEL_SILENCE = 700;
    private static final long PLAIN_SILENCE = 400;
    private static final double SILENT_TIMES = 6;
    private static final int MISDIRECTED = 421;
    private static final int PRIORITY_STEP = 3;
    private static final int LAST_PRIORITY = 9;

    private enum State {
        PLACING,
        AWAITING,
        STREAMING,
        DONE
    }

    private final Router router;
    private final ServerExchange client;
    private final Route route;
    private final Service service;
    private final Tenant tenant;
    private final double cost;
    private final PromptParts prompt;
    private final String attemptId;
    private final long arrivedAt;
    private final long deadlineAt;
    private final Set<Upstream> tried = new HashSet<>();
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private State state = State.PLACING;
    private Attempt current;
    private ResponseHead answer;
    private EventSplitter splitter;
    private boolean mayHaveRun;
    private int sends;
    private int unsent;
    private long lastEvent;
    private boolean anyEvent;
    private long weights = InstanceRecord.UNKNOWN_WEIGHTS_VERSION;

    Exchange(
            Router router,
            ServerExchange client,
            Route route,
            Service service,
            Tenant tenant,
            double cost) {
        this.router = router;
        this.client = client;
        this.route = route;
        this.service = service;
        this.tenant = tenant;
        this.cost = cost;
        Headers headers = client.head().headers();
        this.prompt = PromptParts.parse(headers.get(Names.PREFIX));
        this.attemptId = headers.get(Names.ATTEMPT);
        this.arrivedAt = router.now();
        long patience =
                Math.min(headers.number(Names.DEADLINE, route.timeoutMs()), route.timeoutMs());
        this.deadlineAt = arrivedAt + patience;
        this.lastEvent = headers.number(Names.LAST_EVENT, EventSplitter.NO_ID);
        client.onGone(this::clientGone);
    }

    private void become(State next) {
        state = next;
        if (next == State.DONE) {
            router.ended(this);
        }
    }

    // ---- Placing
    // -------------------------------------------------------------------------------------

    /** Sends the request to an upstream, or answers at once if none can take it. */
    void place() {
        long now = router.now();
        if (now >= deadlineAt - MARGIN) {
            giveUp();
            return;
        }
        Placement.Pick pick = router.placement().pick(service, prompt, tried, begunWith(), now);
        if (pick == null) {
            router.count(Counters.Event.NO_UPSTREAM);
            giveUp();
            return;
        }
        if (sends == 0 && unsent == 0) {
            long wait =
                    router.admission()
                            .comeBackAfter(route, service, pick, deadlineAt - now, tenant);
            if (wait > 0) {
                router.count(Counters.Event.REFUSED);
                refuse(wait);
                return;
            }
        }
        send(pick, now);
    }

    private void send(Placement.Pick pick, long now) {
        become(state == State.STREAMING ? State.STREAMING : State.AWAITING);
        Upstream upstream = pick.upstream();
        tried.add(upstream);
        double readingMs = pick.tokensToRead() * router.placement().speed().msPerToken();
        splitter = new EventSplitter();
        whole.reset();
        RequestHead head =
                new RequestHead(
                        client.head().method(),
                        client.head().target(),
                        headers(upstream, readingMs, now));
        if (router.placement().worthKeeping(prompt)) {
            router.fleet().sent(prompt, upstream, now);
        }
        current = new Attempt(pick, head, client.body(), router.scheduler(), this);
        current.start(router.connections(), !route.repeatable());
    }

    private Headers headers(Upstream upstream, double readingMs, long now) {
        Headers headers = Names.forUpstream(client.head().headers());
        headers.add(Names.DEADLINE, Long.toString(Math.max(1, deadlineAt - now)));
        headers.add(Names.INSTANCE, upstream.record().id);
        if (lastEvent != EventSplitter.NO_ID) {
            headers.add(Names.LAST_EVENT, Long.toString(lastEvent));
        }
        if (sameWeights(upstream)) {
            headers.add(Names.EXPECT_VERSION, Long.toString(weights));
        }
        int before = tenant == null ? 0 : tenant.priority() * PRIORITY_STEP;
        if (tenant != null) {
            headers.add(Names.TENANT, tenant.name());
        }
        if (service.engine() != null) {
            headers.add(
                    Names.PRIORITY,
                    Integer.toString(
                            Math.min(LAST_PRIORITY, before + Urgency.rank(route, readingMs))));
        }
        return headers;
    }

    /** Whether an answer goes on at an upstream that has told the weights that began it. */
    private boolean sameWeights(Upstream upstream) {
        long begun = begunWith();
        return begun != InstanceRecord.UNKNOWN_WEIGHTS_VERSION
                && upstream.record().weightsVersion == begun;
    }

    /** The weights that made the events which the client has, if it has any. */
    private long begunWith() {
        return state == State.STREAMING ? weights : InstanceRecord.UNKNOWN_WEIGHTS_VERSION;
    }

    // ---- What becomes of an attempt
    // ------------------------------------------------------------------

    @Override
    public void notSent(Attempt attempt) {
        if (attempt != current) {
            return;
        }
        current = null;
        attempt.upstream().failed(router.now(), true);
        router.count(Counters.Event.NOT_SENT);
        if (++unsent < MOST_UNSENT) {
            place();
        } else {
            giveUp();
        }
    }

    @Override
    public void head(Attempt attempt, ResponseHead head) {
        if (attempt != current) {
            return;
        }
        sends++;
        long now = router.now();
        attempt.upstream().reported(head.headers().get(Names.LOAD), now);
        boolean rejected =
                head.status() == MISDIRECTED || head.headers().get(Names.NOT_EXECUTED) != null;
        if (rejected) {
            rejected(attempt, head);
            return;
        }
        boolean ours = attemptId == null || attemptId.equals(head.headers().get(Names.ATTEMPT));
        if (!ours || head.headers().get(Names.SIGNATURE) == null && head.status() < 300) {
            router.count(Counters.Event.FOREIGN_ANSWER);
            attempt.cancel();
            failed(attempt);
            return;
        }
        if (state != State.STREAMING) {
            answer = head;
            weights = head.headers().number(Names.VERSIONS, InstanceRecord.UNKNOWN_WEIGHTS_VERSION);
        } else if (head.status() >= 300) {
            attempt.cancel();
            failed(attempt);
        }
    }

    private void rejected(Attempt attempt, ResponseHead head) {
        router.count(Counters.Event.REJECTED);
        current = null;
        attempt.cancel();
        if (head.status() == MISDIRECTED && !sameWeights(attempt.upstream())) {
            router.directory().gone(attempt.upstream());
        } else if (head.status() == 400) {
            answerAndEnd(400, Names.passedOn(head.headers()), NO_BYTES);
            return;
        }
        boolean more = sends < route.retries() && router.budget().take(service.name());
        if (more) {
            place();
        } else {
            giveUp();
        }
    }

    @Override
    public void body(Attempt attempt, byte[] bytes) {
        if (attempt != current) {
            return;
        }
        if (route.streaming() && (state == State.STREAMING || answer.status() < 300)) {
            splitter.feed(bytes, (event, id) -> event(attempt, event, id));
            return;
        }
        whole.writeBytes(bytes);
        if (whole.size() > MOST_BODY) {
            attempt.cancel();
            failed(attempt);
        }
    }

    private void event(Attempt attempt, byte[] event, long id) {
        if (attempt != current || state == State.DONE) {
            return;
        }
        if (attempt.pendingTokens() > 0 || !anyEvent) {
            firstEvent(attempt);
        }
        if (id != EventSplitter.NO_ID && anyEvent && id <= lastEvent) {
            return; // sent already, before this upstream went on
        }
        if (state == State.AWAITING) {
            client.begin(answer.status(), Names.passedOn(answer.headers()));
            become(State.STREAMING);
        }
        anyEvent = true;
        lastEvent = id == EventSplitter.NO_ID ? lastEvent : id;
        client.write(event, 0, event.length);
    }

    private void firstEvent(Attempt attempt) {
        long now = router.now();
        long took = now - attempt.sentAt();
        if (attempt.alone()) {
            router.placement().speed().learn(attempt.tokens(), took);
        }
        attempt.upstream().delayed(Math.max(0, took - attempt.explainedMs()), now);
        attempt.begun();
        attempt.upstream().memory().sent(prompt, now);
    }

    @Override
    public void whole(Attempt attempt) {
        if (attempt != current) {
            return;
        }
        current = null;
        if (state == State.STREAMING) {
            byte[] rest = splitter.rest();
            client.write(rest, 0, rest.length);
            attempt.upstream().succeeded(router.now() - attempt.sentAt());
            become(State.DONE);
            client.end();
            return;
        }
        if (answer.status() >= 500 && route.repeatable() && mayRepeat()) {
            attempt.upstream().failed(router.now(), false);
            place();
            return;
        }
        noteAnswer(attempt);
        byte[] body =
                route.streaming() && answer.status() < 300 ? splitter.rest() : whole.toByteArray();
        answerAndEnd(answer.status(), Names.passedOn(answer.headers()), body);
    }

    private void noteAnswer(Attempt attempt) {
        long now = router.now();
        if (answer.status() >= 500) {
            attempt.upstream().failed(now, false);
        } else {
            attempt.upstream().succeeded(now - attempt.sentAt());
        }
    }

    @Override
    public void broken(Attempt attempt) {
        if (attempt == current) {
            sends += attempt.state() == Attempt.State.ENDED && answer == null ? 1 : 0;
            failed(attempt);
        }
    }

    /** The request may have run and there is no whole answer. */
    private void failed(Attempt attempt) {
        current = null;
        mayHaveRun = true;
        attempt.upstream().failed(router.now(), false);
        router.count(Counters.Event.BROKEN);
        if (route.repeatable() && mayRepeat()) {
            place();
        } else {
            giveUp();
        }
    }

    private boolean mayRepeat() {
        return tried.size() < route.retries()
                && router.now() < deadlineAt - MARGIN
                && router.budget().take(service.name());
    }

    // ---- Time
    // ----------------------------------------------------------------------------------------

    /** Looks at the time: a deadline that is reached, or an upstream that says nothing. */
    void check(long now) {
        if (state == State.DONE) {
            return;
        }
        if (now >= deadlineAt - MARGIN) {
            giveUp();
            return;
        }
        if (current == null || current.state() == Attempt.State.CONNECTING) {
            return;
        }
        Upstream upstream = current.upstream();
        long quietSince = Math.max(upstream.lastByteAt(), current.sentAt());
        if (now - quietSince <= silence(upstream)) {
            return;
        }
        upstream.eject(now);
        if (route.repeatable() && mayRepeat()) {
            router.count(Counters.Event.SILENT);
            Attempt silent = current;
            current = null;
            mayHaveRun = true;
            silent.cancel();
            place();
        }
    }

    private double silence(Upstream upstream) {
        if (service.engine() == null) {
            return Math.max(PLAIN_SILENCE, SILENT_TIMES * upstream.took());
        }
        return MODEL_SILENCE
                + 2 * upstream.backlogTokens() * router.placement().speed().msPerToken();
    }

    // ---- The final answer
    // ----------------------------------------------------------------------------

    /**
     * Ends the request as it stands: a refusal if it never ran, else a failure that promises
     * nothing.
     */
    private void giveUp() {
        Attempt running = current;
        current = null;
        if (running != null) {
            mayHaveRun |= running.state() != Attempt.State.CONNECTING;
            running.cancel();
        }
        if (state == State.STREAMING) {
            become(State.DONE);
            client.abort();
        } else if (mayHaveRun) {
            boolean late = router.now() >= deadlineAt - MARGIN;
            answerAndEnd(late ? 504 : 502, new Headers(), NO_BYTES);
        } else {
            refuse(router.admission().pauseAfterRefusal());
        }
    }

    private void refuse(long waitMs) {
        if (tenant != null) {
            router.quotas().giveBack(tenant, cost);
        }
        answerAndEnd(503, new Headers().add(Names.RETRY_AFTER, Router.seconds(waitMs)), NO_BYTES);
    }

    private void answerAndEnd(int status, Headers headers, byte[] body) {
        become(State.DONE);
        client.respond(status, headers, body);
    }

    private void clientGone() {
        if (state == State.DONE) {
            return;
        }
        Attempt running = current;
        current = null;
        if (running != null) {
            running.cancel();
        }
        become(State.DONE);
    }
}
