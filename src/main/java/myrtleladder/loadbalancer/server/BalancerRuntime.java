package myrtleladder.loadbalancer.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import myrtleladder.loadbalancer.policy.Balance;
import myrtleladder.loadbalancer.policy.Balancer;
import myrtleladder.loadbalancer.policy.Balancer.AttemptEnd;
import myrtleladder.loadbalancer.policy.Balancer.Limits;
import myrtleladder.loadbalancer.policy.Balancer.ListKind;
import myrtleladder.loadbalancer.policy.Balancer.LoadReport;
import myrtleladder.loadbalancer.policy.Balancer.Outcome;
import myrtleladder.loadbalancer.policy.Balancer.Request;
import myrtleladder.loadbalancer.policy.Balancer.RequestClass;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * Owns the decision module and does for it on sockets what the simulator did: clock, timers,
 * attempts and their ends. Everything happens on the one event loop.
 */
final class BalancerRuntime implements Balancer.Actions, TrafficControl {
    static final String TIME_LEFT = "X-Time-Left-Ms";
    private static final System.Logger LOG = System.getLogger(BalancerRuntime.class.getName());
    private static final String LOAD = "/load";
    private static final List<AsciiString> HOP_BY_HOP =
            List.of(HttpHeaderNames.CONNECTION, HttpHeaderNames.TE, HttpHeaderNames.UPGRADE);

    /** How long a probe may take: an upstream that hangs takes it and says nothing. */
    private static final long PROBE_TIMEOUT_MS = 500;

    /**
     * How long to wait for a list from discovery before serving from the one held before the start.
     */
    private static final long TRUST_KNOWN_MS = 1_000;

    /**
     * A loop so late, in microseconds, may have missed the ends of connections; 0.1 s are harmless.
     */
    private static final long LATE = 20_000;

    /** So long after that, in microseconds, what had waited has been read. */
    private static final long LATE_FOR = 100_000;

    private final EventLoop loop;
    private final SettingsReader.ParsedSettings facts;
    private final Limits limits;
    private final String host;
    private final UpstreamConnectionPool upstreams;
    private final Balancer balancer;
    private final Map<String, Open> open = new HashMap<>();
    private final Deque<Runnable> events = new ArrayDeque<>();
    private final RequestCounters counts = new RequestCounters();

    /** When the module's timers are due. */
    private final PriorityQueue<Long> timersDue = new PriorityQueue<>();

    private final long epochMicros = System.currentTimeMillis() * 1_000;
    private final long origin = System.nanoTime();

    /** What discovery told last, by id. */
    private final Map<String, EndpointList.Endpoint> listed = new LinkedHashMap<>();

    /** Upstreams that were out and have come back, with when, in Unix milliseconds. */
    private final Map<String, Long> returned = new HashMap<>();

    private Set<String> aside = Set.of();

    /** Null unless a part beside the balancer has a say. */
    private AttemptAdmission restraint;

    private DiscoveryClient discovery;
    private long lateAt = Long.MIN_VALUE / 2;
    private boolean inEvent;
    private boolean ready;
    private boolean badReportLogged;

    BalancerRuntime(EventLoop loop, BalancerConfig config, UpstreamConnectionPool upstreams) {
        this.loop = loop;
        this.facts = config.facts();
        this.limits = facts.settings().limits();
        this.host = config.listen().getHostString();
        this.upstreams = upstreams;
        this.balancer = new Balance(facts.settings(), config.seed(), this);
    }

    /** Where the one final answer of a request goes. */
    interface Client {
        void served(ByteBuf body);

        /** Refused; {@code retryAfter} is in microseconds, 0 for no advice. */
        void refused(long retryAfter);

        void failed();

        /** Whether it still waits for the answer; its event that it has left may come later. */
        boolean isConnected();
    }

    /** One request from its arrival until it is answered and all its attempts have ended. */
    private static final class Open {
        final Request request;
        final FullHttpRequest message;
        final Client client;
        long deadline;
        final List<Attempt> attempts = new ArrayList<>(1);
        ScheduledFuture<?> atDeadline;
        boolean concluded;

        Open(Request request, FullHttpRequest message, Client client, long now) {
            this.request = request;
            this.message = message;
            this.client = client;
            this.deadline = now + request.timeLeft();
        }

        boolean outstanding() {
            return attempts.stream().anyMatch(a -> !a.ended);
        }
    }

    /** One attempt; {@code exchange} is null if it never started. */
    private static final class Attempt {
        boolean mayHaveRun = true;
        final String upstream;
        final long sentAt;
        UpstreamConnectionPool.Exchange exchange;
        ScheduledFuture<?> timeout;
        boolean ended;

        Attempt(String upstream, long sentAt) {
            this.upstream = upstream;
            this.sentAt = sentAt;
        }
    }

    /** Brings up the module with the list as last held, and begins to follow discovery. */
    void start(DiscoveryClient source, EndpointList known) {
        discovery = source;
        event(() -> balancer.start(now()));
        list(ListKind.RESTORED, known);
        if (!facts.settings().askForList()) {
            discovery.watch(true);
        }
        if (!known.entries().isEmpty()) {
            loop.schedule(
                    () -> {
                        ready = true;
                    },
                    TRUST_KNOWN_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Takes over what may change while it runs: where discovery is. */
    void reload(BalancerConfig config) {
        discovery.move(config.discovery());
    }

    /** What it has done and what it holds; on its event loop only. */
    BalancerStatus status() {
        return new BalancerStatus(
                ready,
                upstreams.size(),
                open.size(),
                upstreams.connections(),
                upstreams.connects(),
                counts.requests,
                counts.answers(),
                counts.attempts());
    }

    /** Whether there are upstreams to serve from. */
    boolean ready() {
        return ready;
    }

    /**
     * Unix time in microseconds that never steps: the module's clock, and what its start times are
     * in.
     */
    long now() {
        return epochMicros + (System.nanoTime() - origin) / 1_000;
    }

    /**
     * Hands the module one event. What its actions bring about at once (a cancelled attempt, say)
     * would call it again in the middle of the first, so that waits in line.
     */
    private void event(Runnable event) {
        events.add(event);
        if (inEvent) {
            return;
        }
        inEvent = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                try {
                    next.run();
                } catch (RuntimeException e) {
                    // The request of this event, if any, still has its deadline to be answered at.
                    LOG.log(System.Logger.Level.ERROR, "the module failed on an event", e);
                }
            }
        } finally {
            inEvent = false;
        }
    }

    // ---- From discovery
    // ------------------------------------------------------------------------------

    void list(ListKind kind, EndpointList told) {
        if (told.full()) {
            listed.clear();
        }
        for (EndpointList.Endpoint e : told.entries()) {
            if (e.state() == Balancer.State.GONE) {
                listed.remove(e.id());
                returned.remove(e.id());
            } else {
                listed.put(e.id(), e);
            }
        }
        ready |= kind == ListKind.COMPLETE || kind == ListKind.CHANGES;
        apply(
                kind,
                aside.isEmpty() && returned.isEmpty()
                        ? told
                        : new EndpointList(
                                told.version(),
                                told.full(),
                                told.entries().stream().map(this::seen).toList()));
    }

    /**
     * Discovery's word goes first: what drains there drains, and a later start is the one that
     * counts.
     */
    private EndpointList.Endpoint seen(EndpointList.Endpoint e) {
        boolean away = e.state() == Balancer.State.READY && aside.contains(e.id());
        return new EndpointList.Endpoint(
                e.id(),
                e.addr(),
                e.zone(),
                e.kind(),
                e.cell(),
                away ? Balancer.State.DRAINING : e.state(),
                e.weight(),
                Math.max(e.startedMs(), returned.getOrDefault(e.id(), 0L)));
    }

    private void apply(ListKind kind, EndpointList list) {
        upstreams.apply(list);
        event(
                () ->
                        balancer.upstreams(
                                now(),
                                kind,
                                list.entries().stream().map(e -> e.toModule(facts)).toList()));
    }

    // ---- For parts beside the balancer
    // -----------------------------------------------------------------

    @Override
    public void restrain(AttemptAdmission by) {
        restraint = by;
    }

    @Override
    public void setAside(Set<String> away, Set<String> cold) {
        Set<String> changed = new HashSet<>(aside);
        changed.addAll(away);
        changed.removeIf(id -> aside.contains(id) && away.contains(id) || !listed.containsKey(id));
        aside = Set.copyOf(away);
        cold.forEach(id -> returned.put(id, now() / 1_000));
        if (!changed.isEmpty()) {
            apply(
                    ListKind.CHANGES,
                    new EndpointList(
                            0,
                            false,
                            changed.stream().sorted().map(id -> seen(listed.get(id))).toList()));
        }
    }

    @Override
    public int inFlight(String upstream) {
        return (int)
                open.values().stream()
                        .flatMap(o -> o.attempts.stream())
                        .filter(a -> !a.ended && a.upstream.equals(upstream))
                        .count();
    }

    @Override
    public List<ListedEndpoint> listed() {
        return listed.values().stream()
                .map(
                        e ->
                                new ListedEndpoint(
                                        e.id(),
                                        e.zone(),
                                        e.kind(),
                                        e.cell(),
                                        e.state() == Balancer.State.READY))
                .toList();
    }

    void listUnavailable() {
        event(() -> balancer.upstreams(now(), ListKind.UNAVAILABLE, List.of()));
    }

    // ---- From clients
    // --------------------------------------------------------------------------------

    /**
     * How long a request that is read now may have waited unread, in microseconds. Its time counts
     * from when it came, and after the process or its loop stood still that was before now: by as
     * much as the module's timers are overdue, since those come at the end of each turn of the
     * loop, and dozens a second.
     */
    long unread() {
        Long due = timersDue.peek();
        return due == null ? 0 : Math.max(0, now() - due);
    }

    /** Whether the loop is late, or was a moment ago: what it reads now may have waited long. */
    boolean isLate() {
        return unread() > LATE || now() - lateAt < LATE_FOR;
    }

    boolean isOpen(String id) {
        return open.containsKey(id);
    }

    /**
     * Takes a request and its message; exactly one answer follows unless the client leaves first.
     */
    void request(Request request, FullHttpRequest message, Client client) {
        counts.requests++;
        if (limits.maxOpen() > 0 && open.size() >= limits.maxOpen()) {
            counts.refused++;
            message.release();
            client.refused(0);
            return;
        }
        Open o = new Open(request, message, client, now());
        open.put(request.id(), o);
        o.atDeadline = loop.schedule(() -> overdue(o), request.timeLeft(), TimeUnit.MICROSECONDS);
        event(() -> balancer.request(now(), request));
    }

    /** The client has closed its connection. */
    void gone(String id) {
        Open o = open.get(id);
        if (o != null && !o.concluded) {
            concludeLeft(o);
            event(() -> balancer.clientGone(now(), id));
        }
    }

    private void concludeLeft(Open o) {
        counts.left++;
        conclude(o);
    }

    /** At the deadline: ends what is out, and answers if the module, told of that, does not. */
    private void overdue(Open o) {
        for (int i = 0; i < o.attempts.size(); i++) {
            giveUp(o, i, Outcome.TIMEOUT);
        }
        event(
                () -> {
                    if (!o.concluded) {
                        counts.failed++;
                        conclude(o);
                        o.client.failed();
                        balancer.clientGone(now(), o.request.id());
                    }
                });
    }

    /** A planned stop has run out of time: whatever is still open gets its answer while it can. */
    void failAll() {
        for (Open o : List.copyOf(open.values())) {
            o.deadline = now(); // or the module, told that the attempt is over, would send another
            overdue(o);
        }
    }

    private void conclude(Open o) {
        o.concluded = true;
        forgetIfDone(o);
    }

    private void forgetIfDone(Open o) {
        if (o.concluded && !o.outstanding() && open.remove(o.request.id(), o)) {
            o.atDeadline.cancel(false);
            o.message.release();
        }
    }

    // ---- Attempts
    // ------------------------------------------------------------------------------------

    @Override
    public void send(String id, String upstream, long timeout) {
        long now = now();
        Open o = open.get(id);
        if (o != null && !o.concluded && !o.client.isConnected()) {
            concludeLeft(o);
        }
        if (o == null
                || o.concluded
                || o.attempts.size() >= limits.maxAttempts()
                || o.deadline <= now
                || o.outstanding() && !limits.secondCopies()
                || restraint != null && !restraint.maySend(upstream)) {
            neverSent(o, id, upstream);
            return;
        }
        int number = o.attempts.size();
        Attempt attempt = new Attempt(upstream, now);
        o.attempts.add(attempt);
        long ends = timeout == 0 ? o.deadline : Math.min(now + Math.max(0, timeout), o.deadline);
        FullHttpRequest message = forward(o.message);
        attempt.exchange =
                upstreams.start(
                        upstream,
                        message,
                        () -> mayBegin(o, number, message, ends),
                        (outcome, answer) -> ended(o, number, outcome, answer));
        if (ends < o.deadline) {
            attempt.timeout =
                    loop.schedule(
                            () -> giveUp(o, number, Outcome.TIMEOUT),
                            ends - now,
                            TimeUnit.MICROSECONDS);
        }
    }

    private void neverSent(Open o, String id, String upstream) {
        int attempt = o == null ? 0 : o.attempts.size();
        if (o != null) {
            Attempt never = new Attempt(upstream, now());
            never.ended = true;
            never.mayHaveRun = false;
            o.attempts.add(never);
        }
        event(
                () ->
                        balancer.outcome(
                                now(),
                                new AttemptEnd(
                                        id,
                                        attempt,
                                        upstream,
                                        Outcome.MOOT,
                                        0,
                                        o == null || o.concluded,
                                        null)));
    }

    /**
     * Asked when an attempt has its connection, which takes as long as the settings allow: whether
     * it may still begin. If so, its upstream is told the time that is left now.
     */
    private boolean mayBegin(Open o, int number, FullHttpRequest message, long ends) {
        long now = now();
        if (!o.concluded && !o.client.isConnected()) {
            concludeLeft(o);
            event(() -> balancer.clientGone(now(), o.request.id()));
        }
        if (o.concluded || now >= ends || now >= repeatableUntil(o, number)) {
            return false;
        }
        message.headers().set(TIME_LEFT, (ends - now) / 1_000);
        return true;
    }

    /** Until when this attempt may begin, as a repeat of an earlier one that may have run. */
    private long repeatableUntil(Open o, int number) {
        RequestClass requestClass = facts.settings().classes().get(o.request.classIndex());
        if (requestClass.effect() != Balancer.Effect.KEYED) {
            return Long.MAX_VALUE;
        }
        return o.attempts.subList(0, number).stream()
                .filter(a -> a.mayHaveRun)
                .mapToLong(a -> a.sentAt + requestClass.memorySpan())
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    /**
     * A client's wish for its own connection is none for ours: passed on, it would cost one each
     * time.
     */
    private static FullHttpRequest forward(FullHttpRequest message) {
        FullHttpRequest copy = message.retainedDuplicate();
        HOP_BY_HOP.forEach(copy.headers()::remove);
        return copy;
    }

    private void giveUp(Open o, int number, Outcome outcome) {
        Attempt attempt = o.attempts.get(number);
        if (!attempt.ended) {
            attempt.exchange.abandon();
            ended(o, number, outcome, null);
        }
    }

    private void ended(Open o, int number, Outcome outcome, FullHttpResponse answer) {
        Attempt attempt = o.attempts.get(number);
        attempt.ended = true;
        attempt.mayHaveRun = !outcome.neverRan;
        counts.attemptEnded(outcome);
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        if (outcome == Outcome.OK && !o.concluded) {
            counts.served++;
            o.concluded = true;
            o.client.served(answer.content().retain());
        }
        LoadReport load = answer == null ? null : load(answer.headers().get("X-Backend-Load"));
        forgetIfDone(o);
        long took = now() - attempt.sentAt;
        if (restraint != null) {
            restraint.ended(attempt.upstream, outcome == Outcome.OK, took);
        }
        event(
                () ->
                        balancer.outcome(
                                now(),
                                new AttemptEnd(
                                        o.request.id(),
                                        number,
                                        attempt.upstream,
                                        outcome,
                                        took,
                                        o.concluded,
                                        load)));
    }

    @Override
    public void cancel(String id, int attempt) {
        Open o = open.get(id);
        if (o != null && attempt >= 0 && attempt < o.attempts.size()) {
            giveUp(o, attempt, Outcome.CANCELLED);
        }
    }

    // ---- Final answers
    // -------------------------------------------------------------------------------

    @Override
    public void refuse(String id, long retryAfter) {
        Open o = open.get(id);
        if (o != null && !o.concluded) {
            counts.refused++;
            conclude(o);
            o.client.refused(retryAfter);
        }
    }

    @Override
    public void fail(String id) {
        Open o = open.get(id);
        if (o != null && !o.concluded) {
            counts.failed++;
            conclude(o);
            o.client.failed();
        }
    }

    // ---- Probes, timers and the rest
    // -----------------------------------------------------------------

    @Override
    public void probe(String upstream) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, LOAD, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        ScheduledFuture<?>[] timeout = new ScheduledFuture<?>[1];
        UpstreamConnectionPool.Exchange exchange =
                upstreams.start(
                        upstream,
                        request,
                        () -> true,
                        (outcome, answer) -> {
                            timeout[0].cancel(false);
                            LoadReport load =
                                    outcome != Outcome.OK
                                            ? null
                                            : load(
                                                    answer.content()
                                                            .toString(StandardCharsets.US_ASCII));
                            event(() -> balancer.probed(now(), upstream, outcome, load));
                        });
        timeout[0] =
                loop.schedule(
                        () -> {
                            exchange.abandon();
                            event(() -> balancer.probed(now(), upstream, Outcome.TIMEOUT, null));
                        },
                        PROBE_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Reads {@code name=value,name=value}; a report that can't be read is none. The names are those
     * of the settings ({@code cpu}). Under others each report came out empty and weights never
     * moved, unseen.
     */
    private LoadReport load(String text) {
        if (text == null || text.isBlank() || facts.settings().reports() == Balancer.Reports.NONE) {
            return null;
        }
        double[] r = new double[SettingsReader.REPORTED.size()];
        Arrays.fill(r, Double.NaN);
        boolean understood = false;
        try {
            for (String field : text.trim().split(",")) {
                int equals = field.indexOf('=');
                int place =
                        SettingsReader.REPORTED.indexOf(
                                field.substring(0, Math.max(0, equals)).trim());
                if (place >= 0) {
                    r[place] = Double.parseDouble(field.substring(equals + 1));
                    understood = true;
                }
            }
        } catch (NumberFormatException e) {
            understood = false;
        }
        if (!understood && !badReportLogged) {
            badReportLogged = true;
            LOG.log(
                    System.Logger.Level.WARNING,
                    "ignored a load report that can't be read: " + text);
        }
        return understood ? new LoadReport(r[0], r[1], r[2], r[3] * 1_000, r[4], r[5]) : null;
    }

    @Override
    public void timer(String token, long delay) {
        timersDue.add(now() + delay);
        loop.schedule(
                () -> {
                    lateAt = now() - timersDue.poll() > LATE ? now() : lateAt;
                    event(() -> balancer.timer(now(), token));
                },
                delay,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void closeIdle(String upstream) {
        upstreams.closeIdle(upstream);
    }

    @Override
    public void watch(boolean on) {
        discovery.watch(on);
    }

    @Override
    public void fetch() {
        discovery.fetch();
    }

    /** The deployment has no way between balancers, and a module told so has nothing to tell. */
    @Override
    public void tell(int peer, byte[] body) {}

    @Override
    public void log(String text) {
        LOG.log(System.Logger.Level.INFO, text);
    }
}
