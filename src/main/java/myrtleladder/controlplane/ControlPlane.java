package myrtleladder.controlplane;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Json;
import myrtleladder.io.Scheduler;
import myrtleladder.io.ServerExchange;
import myrtleladder.io.SystemException;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import myrtleladder.protocol.ShareInstancesRequest;
import myrtleladder.replication.Peers;
import myrtleladder.replication.Replica;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The control plane on one node: the operator's orders, the heartbeats of upstreams and the polls
 * of balancers. Only the primary decides; the others name it.
 */
public final class ControlPlane implements Replica.Listener {
    private static final Logger LOG = LogManager.getLogger(ControlPlane.class);
    private static final long TICK = 100;
    private static final long FROZEN = 400;
    private static final long SAVE_PAUSE = 700;
    private static final int SILENT_HEARTBEATS = 3;

    private final Scheduler scheduler;
    private final long heartbeatMs;
    private final Map<String, String> regionOfZone;
    private final InstanceRegistry registry = new InstanceRegistry();
    private final BalancerDirectory balancers = new BalancerDirectory();
    private final FleetView fleet = new FleetView();
    private final QuotaBank bank;
    private final InstanceSharing sharing;
    private final ConfigurationOrders orders;
    private final PollDistribution polls;
    private Replica replica;
    private boolean leading;
    private long leadingSince;
    private long lastTick;
    private boolean savePlanned;

    /** Creates a control plane; {@link #attach} has to follow. */
    public ControlPlane(
            Scheduler scheduler,
            Peers peers,
            long heartbeatMs,
            double quotaOverage,
            double quotaSlack,
            Map<String, String> regionOfZone) {
        this.regionOfZone = regionOfZone;
        this.bank = new QuotaBank(quotaOverage, quotaSlack);
        this.sharing = new InstanceSharing(scheduler, peers);
        this.scheduler = scheduler;
        this.heartbeatMs = heartbeatMs;
        this.orders = new ConfigurationOrders(scheduler, this::committed);
        this.polls =
                new PollDistribution(
                        scheduler,
                        registry,
                        balancers,
                        orders::committed,
                        () -> settled(scheduler.now()),
                        fleet);
    }

    private void committed(Configuration configuration, boolean first) {
        bank.use(configuration, first, scheduler.now());
        polls.answerNews();
    }

    /** Gives the replica that decides who is primary. */
    public void attach(Replica attached) {
        replica = attached;
        orders.attach(attached);
        polls.attach(attached);
        sharing.attach(attached);
        registry.inherit(attached.instancesAtStart(), scheduler.now());
        scheduler.schedule(TICK, this::tick);
    }

    /** The upstreams known here. */
    public List<InstanceRecord> instances() {
        return registry.all();
    }

    @Override
    public void onPrimacyGained(Collection<InstanceRecord> inherited) {
        if (!leading) {
            leadingSince = scheduler.now();
            bank.clear();
            fleet.lead(leadingSince);
        }
        leading = true;
        sharing.lead();
        registry.inherit(inherited, scheduler.now());
        orders.lead();
        LOG.info(
                "primary of epoch {} with generation {} and {} upstreams",
                replica.epoch(),
                orders.committed().generation,
                registry.all().size());
        polls.lead();
        orders.time(scheduler.now());
    }

    @Override
    public void onPrimacyLost() {
        leading = false;
        sharing.follow();
        orders.follow();
        polls.follow();
    }

    @Override
    public void onInstancesReceived(Collection<InstanceRecord> records) {
        records.forEach(record -> registry.take(record, scheduler.now()));
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
                && replica.isRecentlyConfirmed()
                && registry.expire(now, SILENT_HEARTBEATS * heartbeatMs + heartbeatMs / 2)) {
            polls.answerNews();
        }
        assignOrdinals(now);
        polls.time(now);
        orders.time(now);
    }

    private void assignOrdinals(long now) {
        if (!replica.isRecentlyConfirmed()) {
            return;
        }
        List<InstanceRecord> assigned = registry.assignOrdinals(now);
        if (!assigned.isEmpty()) {
            for (InstanceRecord record : assigned) {
                LOG.info("{} in {} has ordinal {}", record.id, record.zone, record.ordinal);
                sharing.share(record);
            }
            polls.answerNews();
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
            orders.take(exchange);
        } else if (path.startsWith("/instances/")) {
            instance(exchange, path.substring("/instances/".length()));
        } else if (path.equals("/upgrade")) {
            upgrade(exchange);
        } else if (path.equals("/status")) {
            CallerAnswers.document(exchange, 200, Json.write(status()));
        } else {
            CallerAnswers.empty(exchange, 404);
        }
    }

    private Map<String, Object> status() {
        return Map.of(
                "state",
                replica.state().name(),
                "epoch",
                replica.epoch(),
                "generation",
                orders.committed().generation,
                "upstreams",
                registry.all().size(),
                "balancers",
                balancers.count(false),
                "view",
                String.valueOf(replica.view()));
    }

    /** Only the primary hears the balancers, so it alone can tell what is under way. */
    private void upgrade(ServerExchange exchange) {
        if (!leading || !replica.isRecentlyConfirmed()) {
            CallerAnswers.redirect(exchange, replica);
            return;
        }
        CallerAnswers.document(
                exchange,
                200,
                Json.write(
                        UpgradeStatus.document(
                                UpgradeStatus.of(
                                        registry.all(), balancers.underWay(), regionOfZone))));
    }

    // ---- Upstreams
    // -----------------------------------------------------------------------------------

    private void instance(ServerExchange exchange, String id) {
        if (!leading || !replica.isRecentlyConfirmed()) {
            CallerAnswers.redirect(exchange, replica);
            return;
        }
        InstanceRecord record;
        if (exchange.head().method().equals("DELETE")) {
            InstanceRecord known = registry.get(id);
            // others may know what this node does not: the departure has to reach them too
            record = known == null ? InstanceRecord.departed(id) : known.withStage(Stage.GONE);
        } else {
            try {
                record = InstanceReader.read(id, Json.readObject(exchange.body()));
            } catch (SystemException e) {
                CallerAnswers.refuse(exchange, 400, e.getMessage());
                return;
            }
        }
        boolean news = registry.take(record, scheduler.now());
        if (news) {
            polls.answerNews();
            saveSoon();
        }
        boolean leaves = registry.get(id).isLeaving();
        if (leaves) {
            sharing.shareDurably(
                    registry.get(id),
                    safe -> {
                        if (safe) {
                            CallerAnswers.acknowledge(exchange);
                        } else {
                            CallerAnswers.unclear(exchange);
                        }
                    });
            return;
        }
        if (news) {
            sharing.share(registry.get(id));
        }
        CallerAnswers.acknowledge(exchange);
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
                        replica.saveInstancesIfIdle();
                    });
        }
    }

    // ---- Messages of the fleet
    // -----------------------------------------------------------------------

    /** Takes a message of another process of the fleet. */
    public void receive(Message message, Consumer<Message> answer) {
        if (message instanceof PollRequest poll) {
            polls.take(poll, answer);
        } else if (message instanceof QuotaRequest ask) {
            answer.accept(grant(ask));
        } else if (message instanceof ShareInstancesRequest shared) {
            take(shared, answer);
        } else if (!replica.receive(message, answer)) {
            answer.accept(null);
        }
    }

    private QuotaResponse grant(QuotaRequest ask) {
        if (!leading || !replica.isRecentlyConfirmed()) {
            return QuotaResponse.of(false, 0, 0);
        }
        long now = scheduler.now();
        QuotaResponse grant = bank.grant(ask, now);
        fleet.take(ask.loadReport, now);
        grant.fleetLoads = fleet.tell(ask.loadReport, replica.view().epoch, now);
        return grant;
    }

    private void take(ShareInstancesRequest shared, Consumer<Message> answer) {
        if (shared.epoch < replica.epoch()) {
            answer.accept(AcknowledgeResponse.of(false, replica.epoch(), replica.self()));
            return;
        }
        onInstancesReceived(shared.instances);
        if (shared.syncRequired) {
            replica.saveInstances(
                    ok ->
                            answer.accept(
                                    AcknowledgeResponse.of(ok, replica.epoch(), replica.self())));
        } else {
            saveSoon();
            answer.accept(AcknowledgeResponse.of(true, replica.epoch(), replica.self()));
        }
    }
}
