package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import myrtleladder.configuration.Compression;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Json;
import myrtleladder.heartbeat.HeartbeatAgent;
import myrtleladder.io.Scheduler;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import myrtleladder.replication.Peers;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Long polls to the control plane: each names what this balancer has and is answered once there is
 * more. What is taken never goes back: answers of lower epochs and older generations are left.
 */
final class ControlPoller {
    private static final Logger LOG = LogManager.getLogger(ControlPoller.class);
    private static final long TIMEOUT =
            750; // the hold of a poll and what a round trip may take beyond it
    private static final long PAUSE = 50;
    private static final long AVOIDED = 1_500;
    private static final long SILENT = 400; // an answer that stays out for so long: nobody is there
    private static final int READ_SEEDS_AFTER = 6;

    private final Scheduler scheduler;
    private final Peers peers;
    private final Router router;
    private final String balancer;
    private final String address;
    private final HeartbeatAgent agent;
    private final Supplier<List<String>> seedSource;
    private List<String> seeds;
    private final Map<String, Silence> silences = new HashMap<>();
    private List<String> members = List.of();
    private String target = "";
    private int turn;
    private int failures;
    private long askedAt;
    private long epoch;
    private long namedEpoch;
    private long generation;
    private long revision;
    private boolean complete;
    private int balancers;
    private long memberRevision;
    private boolean leaving;

    /** A node that did not answer, and the latest epoch that was known then. */
    private record Silence(long avoidedUntil, long epoch) {}

    ControlPoller(
            Scheduler scheduler,
            Peers peers,
            Router router,
            String balancer,
            String address,
            HeartbeatAgent agent,
            Supplier<List<String>> seedSource) {
        this.scheduler = scheduler;
        this.peers = peers;
        this.router = router;
        this.balancer = balancer;
        this.address = address;
        this.agent = agent;
        this.seedSource = seedSource;
        this.seeds = seedSource.get();
        router.fleet().name(balancer);
    }

    /** Reads the seeds again. */
    void readSeeds() {
        seeds = seedSource.get();
    }

    /** Begins to poll. */
    void start() {
        poll();
    }

    /** Tells the control plane that this balancer ends. */
    void leave() {
        leaving = true;
        poll();
    }

    /** Asks the primary that answered last. */
    void ask(QuotaRequest ask, long timeoutMs, Consumer<Message> answer) {
        if (epoch == 0 || target.isEmpty()) {
            answer.accept(null);
        } else {
            ask.load = router.fleet().report();
            peers.call(target, ask, timeoutMs, reply -> granted(ask.load, reply, answer));
        }
    }

    private void granted(LoadReport report, Message message, Consumer<Message> answer) {
        if (message instanceof QuotaResponse grant && grant.valid) {
            router.fleet().take(report, grant.loads, scheduler.now());
        }
        answer.accept(message);
    }

    /** Whether a configuration is in force and the upstreams were told. */
    boolean ready() {
        return generation > 0 && epoch > 0;
    }

    long generation() {
        return generation;
    }

    private void poll() {
        if (target.isEmpty()) {
            target = nextTarget();
        }
        PollRequest poll = new PollRequest();
        poll.balancer = balancer;
        poll.leaving = leaving;
        poll.epoch = epoch;
        poll.generation = generation;
        poll.revision = revision;
        poll.complete = complete;
        poll.balancers = balancers;
        poll.address = address;
        poll.alive = agent.liveMembers();
        poll.memberRevision = memberRevision;
        poll.load = router.fleet().report();
        poll.underWay.addAll(router.directory().underWayAtLeaving());
        askedAt = scheduler.now();
        peers.call(target, poll, TIMEOUT, message -> answered(poll.load, message));
    }

    private String nextTarget() {
        Set<String> all = new LinkedHashSet<>(members);
        all.addAll(seeds);
        List<String> list = new ArrayList<>(all);
        for (int i = 0; i < list.size(); i++) {
            String next = list.get(Math.floorMod(turn++, list.size()));
            if (!avoided(next)) {
                return next;
            }
        }
        return list.get(Math.floorMod(turn++, list.size()));
    }

    private boolean avoided(String address) {
        Silence silence = silences.get(address);
        return silence != null && scheduler.now() < silence.avoidedUntil();
    }

    /**
     * Who names a primary of a later epoch than any that was known when that node was silent knows
     * better: it was elected since.
     */
    private void named(String primary, long told) {
        namedEpoch = Math.max(namedEpoch, told);
        Silence silence = silences.get(primary);
        if (silence != null && told > silence.epoch()) {
            silences.remove(primary);
        }
    }

    private void answered(LoadReport report, Message message) {
        if (leaving) {
            return;
        }
        if (!(message instanceof PollResponse reply)) {
            if (scheduler.now() - askedAt > SILENT) {
                // one that refuses may just be starting
                silences.put(
                        target,
                        new Silence(scheduler.now() + AVOIDED, Math.max(epoch, namedEpoch)));
            }
            if (++failures % READ_SEEDS_AFTER == 0) {
                readSeeds();
            }
            target = "";
            scheduler.schedule(PAUSE, this::poll);
            return;
        }
        if (!reply.members.isEmpty()) {
            members = reply.members;
        }
        if (!reply.valid || reply.epoch < epoch) {
            named(reply.primary, reply.epoch);
            boolean useless = reply.primary.equals(target) || avoided(reply.primary);
            target = useless ? "" : reply.primary;
            scheduler.schedule(PAUSE, this::poll);
            return;
        }
        failures = 0;
        take(reply);
        router.fleet().take(report, reply.loads, scheduler.now());
        poll();
    }

    private void take(PollResponse reply) {
        if (reply.epoch > epoch) {
            LOG.info("epoch {} of {} follows {}", reply.epoch, reply.primary, epoch);
        }
        complete = reply.complete || complete && reply.epoch == epoch;
        epoch = reply.epoch;
        revision = reply.revision;
        router.directory().take(reply.instances, reply.whole && reply.complete);
        if (reply.generation > generation && reply.document.length > 0) {
            Configuration next =
                    Configuration.read(Json.readObject(Compression.inflate(reply.document)));
            router.use(next);
            generation = reply.generation;
            LOG.info("generation {} is in force", generation);
        }
        balancers = reply.balancers;
        memberRevision = reply.memberRevision;
        if (!reply.balancerList.isEmpty()) {
            agent.setMembers(reply.balancerList);
        }
        router.balancers(reply.balancers);
    }
}
