package yewyoke.control;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import yewyoke.configuration.Compression;
import yewyoke.configuration.ConfigurationDocument;
import yewyoke.configuration.ConfigurationException;
import yewyoke.configuration.Json;
import yewyoke.io.Headers;
import yewyoke.io.ResultCode;
import yewyoke.io.Scheduler;
import yewyoke.io.ServerExchange;
import yewyoke.io.SystemException;
import yewyoke.message.Acknowledge;
import yewyoke.message.InstanceRecord;
import yewyoke.message.InstanceRecord.Stage;
import yewyoke.message.Member;
import yewyoke.message.Message;
import yewyoke.message.Poll;
import yewyoke.message.PollReply;
import yewyoke.message.QuotaAsk;
import yewyoke.message.QuotaGrant;
import yewyoke.message.ShareInstances;
import yewyoke.message.Snapshot;
import yewyoke.replication.Peers;
import yewyoke.replication.Replica;

/**
 * The control plane on one node: the operator's orders, the heartbeats of upstreams and the polls
 * of balancers. Only the primary decides; the others name it.
 */
public final class ControlPlane implements Replica.Listener {
    private static final Logger LOG = LogManager.getLogger(ControlPlane.class);
    private static final byte[] NO_BYTES = {};
    private static final long HOLD_POLL = 450;
    private static final long HOLD_ORDER = 900;
    private static final long SHARE = 500;
    private static final long TICK = 100;
    private static final long FROZEN = 400;
    private static final long SAVE_PAUSE = 700;
    private static final int SILENT_HEARTBEATS = 3;
    private static final String RETRY_AFTER = "0.2";

    private final Scheduler scheduler;
    private final Peers peers;
    private final int tolerated;
    private final long heartbeatMs;
    private final Map<String, String> regionOfZone;
    private final InstanceRegistry registry = new InstanceRegistry();
    private final BalancerDirectory balancers = new BalancerDirectory();
    private final QuotaBank bank;
    private final HintedHandoff handoff;
    private final ArrayDeque<Order> orders = new ArrayDeque<>();
    private final List<HeldPoll> polls = new ArrayList<>();
    private Replica replica;
    private Snapshot committed = new Snapshot();
    private boolean leading;
    private long leadingSince;
    private long lastTick;
    private boolean working;
    private boolean savePlanned;

    /** An order of the operator that waits for its turn. */
    private record Order(ServerExchange exchange, String digest, long since) {}

    /** A poll that waits for news. */
    private record HeldPoll(Poll poll, Consumer<Message> answer, long since) {}

    /** Creates a control plane; {@link #attach} has to follow. */
    public ControlPlane(
            Scheduler scheduler,
            Peers peers,
            int tolerated,
            long heartbeatMs,
            double quotaOverage,
            double quotaSlack,
            Map<String, String> regionOfZone) {
        this.regionOfZone = regionOfZone;
        this.bank = new QuotaBank(quotaOverage, quotaSlack);
        this.handoff = new HintedHandoff(scheduler, peers);
        this.scheduler = scheduler;
        this.peers = peers;
        this.tolerated = tolerated;
        this.heartbeatMs = heartbeatMs;
    }

    /** Gives the replica that decides who is primary. */
    public void attach(Replica attached) {
        replica = attached;
        registry.inherit(attached.instancesAtStart(), scheduler.now());
        scheduler.schedule(TICK, this::tick);
    }

    /** The upstreams known here. */
    public List<InstanceRecord> instances() {
        return registry.all();
    }

    @Override
    public void becamePrimary(Collection<InstanceRecord> inherited) {
        if (!leading) {
            leadingSince = scheduler.now();
            bank.clear();
        }
        leading = true;
        working = false;
        registry.inherit(inherited, scheduler.now());
        commit(false);
        LOG.info(
                "primary of epoch {} with generation {} and {} upstreams",
                replica.epoch(),
                committed.generation,
                registry.all().size());
        answerPolls();
        work();
    }

    @Override
    public void lostPrimacy() {
        leading = false;
        working = false;
        handoff.clear();
        while (!orders.isEmpty()) {
            redirect(orders.poll().exchange());
        }
        List<HeldPoll> held = new ArrayList<>(polls);
        polls.clear();
        held.forEach(p -> p.answer().accept(notPrimary()));
    }

    private void tick() {
        scheduler.schedule(TICK, this::tick);
        long now = scheduler.now();
        if (now - lastTick > FROZEN) {
            registry.forgive(now);
        }
        lastTick = now;
        balancers.expire(now);
        bank.balancers(balancers.count(!settled(now)));
        if (!leading) {
            return;
        }
        if (settled(now)
                && replica.recentlyConfirmed()
                && registry.expire(now, SILENT_HEARTBEATS * heartbeatMs + heartbeatMs / 2)) {
            answerPolls();
        }
        assignOrdinals(now);
        List<HeldPoll> due = polls.stream().filter(p -> now - p.since() >= HOLD_POLL).toList();
        polls.removeAll(due);
        due.forEach(p -> p.answer().accept(reply(p.poll())));
        while (!orders.isEmpty() && now - orders.peek().since() > HOLD_ORDER) {
            unclear(orders.poll().exchange());
        }
        work();
    }

    private void assignOrdinals(long now) {
        if (!replica.recentlyConfirmed()) {
            return;
        }
        List<InstanceRecord> assigned = registry.assignOrdinals(now);
        if (!assigned.isEmpty()) {
            for (InstanceRecord record : assigned) {
                LOG.info("{} in {} has ordinal {}", record.id, record.zone, record.ordinal);
                share(record, safe -> {});
            }
            answerPolls();
            saveSoon();
        }
    }

    /** Whether each upstream that lives has had the time to be heard by this primary. */
    private boolean settled(long now) {
        return now - leadingSince > SILENT_HEARTBEATS * heartbeatMs;
    }

    // ---- Callers from outside
    // ------------------------------------------------------------------------

    /** Takes a request at the control address. */
    public void handle(ServerExchange exchange) {
        String path = exchange.head().path();
        if (path.equals("/config")) {
            order(exchange);
        } else if (path.startsWith("/instances/")) {
            instance(exchange, path.substring("/instances/".length()));
        } else if (path.equals("/upgrade")) {
            upgrade(exchange);
        } else if (path.equals("/status")) {
            exchange.respond(200, json(), Json.write(status()));
        } else {
            exchange.respond(404, new Headers(), NO_BYTES);
        }
    }

    private Map<String, Object> status() {
        return Map.of(
                "state",
                replica.state().name(),
                "epoch",
                replica.epoch(),
                "generation",
                committed.generation,
                "upstreams",
                registry.all().size(),
                "balancers",
                balancers.count(false),
                "view",
                String.valueOf(replica.view()));
    }

    /** Only the primary hears the balancers, so it alone can tell what is under way. */
    private void upgrade(ServerExchange exchange) {
        if (!leading || !replica.recentlyConfirmed()) {
            redirect(exchange);
            return;
        }
        exchange.respond(
                200,
                json(),
                Json.write(
                        UpgradeStatus.document(
                                UpgradeStatus.of(
                                        registry.all(), balancers.underWay(), regionOfZone))));
    }

    private static Headers json() {
        return new Headers().add("Content-Type", "application/json");
    }

    private void redirect(ServerExchange exchange) {
        Member primary = replica.primary();
        if (primary == null || primary.equals(replica.self())) {
            unclear(exchange);
            return;
        }
        exchange.respond(
                307,
                new Headers()
                        .add("Location", "http://" + primary.control + exchange.head().target()),
                NO_BYTES);
    }

    private static void unclear(ServerExchange exchange) {
        exchange.respond(503, new Headers().add("Retry-After", RETRY_AFTER), NO_BYTES);
    }

    // ---- Orders
    // --------------------------------------------------------------------------------------

    private void order(ServerExchange exchange) {
        if (!leading) {
            redirect(exchange);
            return;
        }
        orders.add(new Order(exchange, digest(exchange), scheduler.now()));
        work();
    }

    private static String digest(ServerExchange exchange) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String line =
                    exchange.head().method()
                            + " "
                            + exchange.head().headers().get("If-Match")
                            + "\n";
            digest.update(line.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(exchange.body()), 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each platform has SHA-256", e);
        }
    }

    /** Takes the next order: first a majority confirms that this node still is primary. */
    private void work() {
        if (working || !leading || orders.isEmpty() || replica.busy()) {
            return;
        }
        working = true;
        Order order = orders.poll();
        replica.confirm(
                confirmed -> {
                    if (!confirmed) {
                        unclear(order.exchange());
                        worked();
                    } else {
                        carryOut(order);
                    }
                });
    }

    private void worked() {
        working = false;
        work();
    }

    private void carryOut(Order order) {
        ServerExchange exchange = order.exchange();
        String method = exchange.head().method();
        if (method.equals("GET")) {
            respondWithDocument(exchange);
            worked();
            return;
        }
        if (!method.equals("PUT") && !method.equals("PATCH")) {
            exchange.respond(405, new Headers(), NO_BYTES);
            worked();
            return;
        }
        if (committed.orders.contains(order.digest())) {
            exchange.respond(200, json(), acknowledged());
            worked();
            return;
        }
        String match = exchange.head().headers().get("If-Match");
        if (match != null
                && !match.replace("\"", "").trim().equals(Long.toString(committed.generation))) {
            refuse(
                    exchange,
                    412,
                    ResultCode.STALE_MATCH.label()
                            + ": generation "
                            + committed.generation
                            + " is current");
            worked();
            return;
        }
        try {
            ConfigurationDocument current = document();
            ConfigurationDocument next =
                    method.equals("PUT")
                            ? current.replacedBy(exchange.body())
                            : current.changedBy(exchange.body());
            submit(order, next);
        } catch (ConfigurationException e) {
            refuse(exchange, 400, e.getMessage());
            worked();
        }
    }

    private void submit(Order order, ConfigurationDocument next) {
        replica.submit(
                Compression.deflate(next.bytes()),
                next.generation(),
                order.digest(),
                taken -> {
                    if (taken) {
                        commit(true);
                        LOG.info(
                                "generation {} is committed in epoch {}",
                                committed.generation,
                                replica.epoch());
                        answerPolls();
                        order.exchange().respond(200, json(), acknowledged());
                    } else {
                        unclear(order.exchange());
                    }
                    worked();
                });
    }

    private void commit(boolean byOrder) {
        boolean first = byOrder && committed.generation == 0;
        committed = replica.snapshot();
        if (committed.generation > 0) {
            bank.use(document().configuration(), first, scheduler.now());
        }
    }

    private ConfigurationDocument document() {
        return ConfigurationDocument.stored(
                Compression.inflate(committed.document), committed.generation);
    }

    private byte[] acknowledged() {
        return Json.write(Map.of("generation", committed.generation));
    }

    private void respondWithDocument(ServerExchange exchange) {
        if (committed.generation == 0) {
            exchange.respond(404, new Headers(), NO_BYTES);
        } else {
            exchange.respond(200, json(), Compression.inflate(committed.document));
        }
    }

    private static void refuse(ServerExchange exchange, int status, String message) {
        exchange.respond(status, json(), Json.write(Map.of("error", message)));
    }

    // ---- Upstreams
    // -----------------------------------------------------------------------------------

    private void instance(ServerExchange exchange, String id) {
        if (!leading || !replica.recentlyConfirmed()) {
            redirect(exchange);
            return;
        }
        InstanceRecord record;
        if (exchange.head().method().equals("DELETE")) {
            InstanceRecord known = registry.get(id);
            record = known == null ? null : known.at(Stage.GONE);
        } else {
            try {
                record = InstanceReader.read(id, Json.readObject(exchange.body()));
            } catch (SystemException e) {
                refuse(exchange, 400, e.getMessage());
                return;
            }
        }
        if (record == null) {
            exchange.respond(200, json(), emptyObject());
            return;
        }
        boolean news = registry.take(record, scheduler.now());
        if (news) {
            answerPolls();
            saveSoon();
        }
        boolean leaves = registry.get(id).leaving();
        if (leaves) {
            share(
                    registry.get(id),
                    safe -> {
                        if (safe) {
                            exchange.respond(200, json(), emptyObject());
                        } else {
                            unclear(exchange);
                        }
                    });
            return;
        }
        if (news) {
            share(registry.get(id), safe -> {});
        }
        exchange.respond(200, json(), emptyObject());
    }

    /**
     * Upstreams go to the disk a while after they changed; only a restart of all needs them from
     * there.
     */
    private void saveSoon() {
        if (!savePlanned) {
            savePlanned = true;
            scheduler.schedule(
                    SAVE_PAUSE,
                    () -> {
                        savePlanned = false;
                        replica.saveInstances();
                    });
        }
    }

    private static byte[] emptyObject() {
        return Json.write(Map.of());
    }

    /**
     * Gives a record to the other nodes; told true once as many have it as may be lost at one time.
     */
    private void share(InstanceRecord record, Consumer<Boolean> done) {
        List<Member> others = new ArrayList<>(replica.view().group);
        others.remove(replica.self());
        Set<Member> taken = new HashSet<>();
        Set<Member> answered = new HashSet<>();
        boolean[] told = {false};
        int wanted = Math.min(tolerated, others.size());
        if (wanted == 0) {
            done.accept(true);
            return;
        }
        ShareInstances message = ShareInstances.of(replica.view().epoch, List.of(record));
        for (Member other : others) {
            peers.call(
                    other.address,
                    message,
                    SHARE,
                    answer -> {
                        answered.add(other);
                        if (answer instanceof Acknowledge reply && reply.taken) {
                            taken.add(other);
                        } else if (leading) {
                            handoff.keep(other, record, replica.view().epoch);
                        }
                        boolean safe = taken.size() >= wanted;
                        if (!told[0] && (safe || answered.size() == others.size())) {
                            told[0] = true;
                            done.accept(safe);
                        }
                    });
        }
    }

    // ---- Messages of the fleet
    // -----------------------------------------------------------------------

    /** Takes a message of another process of the fleet. */
    public void receive(Message message, Consumer<Message> answer) {
        if (message instanceof Poll poll) {
            polled(poll, answer);
        } else if (message instanceof QuotaAsk ask) {
            boolean valid = leading && replica.recentlyConfirmed();
            answer.accept(valid ? bank.grant(ask, scheduler.now()) : QuotaGrant.of(false, 0, 0));
        } else if (message instanceof ShareInstances shared) {
            boolean current = shared.epoch >= replica.epoch();
            if (current) {
                shared.instances.forEach(r -> registry.take(r, scheduler.now()));
                saveSoon();
            }
            answer.accept(Acknowledge.of(current, replica.epoch(), replica.self()));
        } else if (!replica.receive(message, answer)) {
            answer.accept(null);
        }
    }

    private void polled(Poll poll, Consumer<Message> answer) {
        if (!leading || !replica.recentlyConfirmed()) {
            answer.accept(notPrimary());
            return;
        }
        balancers.heard(poll, scheduler.now());
        if (poll.immediate || poll.leaving || hasNews(poll)) {
            answer.accept(reply(poll));
        } else {
            polls.add(new HeldPoll(poll, answer, scheduler.now()));
        }
    }

    private boolean hasNews(Poll poll) {
        return poll.epoch != replica.view().epoch
                || poll.generation < committed.generation
                || poll.revision < registry.revision()
                || !poll.complete && settled(scheduler.now());
    }

    private void answerPolls() {
        if (!leading || replica.state() != Replica.State.PRIMARY) {
            return;
        }
        List<HeldPoll> due = polls.stream().filter(p -> hasNews(p.poll())).toList();
        polls.removeAll(due);
        due.forEach(p -> p.answer().accept(reply(p.poll())));
    }

    private PollReply notPrimary() {
        PollReply reply = new PollReply();
        Member primary = replica.primary();
        reply.primary = primary == null || primary.equals(replica.self()) ? "" : primary.address;
        reply.members = addresses();
        return reply;
    }

    private List<String> addresses() {
        Set<String> addresses = new LinkedHashSet<>();
        if (replica.view() != null) {
            replica.view().group.forEach(m -> addresses.add(m.address));
        }
        return new ArrayList<>(addresses);
    }

    private PollReply reply(Poll poll) {
        if (!replica.recentlyConfirmed()) {
            return notPrimary();
        }
        boolean young = !settled(scheduler.now());
        PollReply reply = new PollReply();
        reply.valid = true;
        reply.primary = replica.self().address;
        reply.members = addresses();
        reply.epoch = replica.view().epoch;
        reply.generation = committed.generation;
        reply.document = poll.generation < committed.generation ? committed.document : NO_BYTES;
        reply.revision = registry.revision();
        reply.complete = !young;
        reply.whole = poll.epoch != reply.epoch || !poll.complete;
        reply.instances = registry.since(reply.whole ? 0 : poll.revision);
        reply.balancers = balancers.count(young);
        reply.memberRevision = balancers.revision();
        if (reply.whole || poll.memberRevision != reply.memberRevision) {
            reply.balancerList = balancers.members();
        }
        return reply;
    }
}
