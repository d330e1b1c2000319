package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import myrtleladder.io.Scheduler;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.protocol.Snapshot;
import myrtleladder.replication.Replica;

/**
 * The long polls of balancers: the primary answers each with what is newer than what the balancer
 * has, the configuration and the upstreams each by a version of their own.
 */
final class PollDistribution {
    private static final long SHORTEST_HOLD = 150;
    private static final long LONGEST_HOLD = 450;
    private static final long HOLD_FOR_EACH = 4; // bounds the polls of all to 250 a second
    private static final byte[] NO_BYTES = {};

    private final Scheduler scheduler;
    private final InstanceRegistry registry;
    private final BalancerDirectory balancers;
    private final Supplier<Snapshot> committed;
    private final BooleanSupplier settled;
    private final FleetView fleet;
    private final List<HeldPoll> polls = new ArrayList<>();
    private Replica replica;
    private boolean leading;

    /** A poll that waits for news. */
    private record HeldPoll(PollRequest poll, Consumer<Message> answer, long since) {}

    /**
     * Creates the distribution; {@code settled} tells whether each upstream that lives has had the
     * time to be heard here.
     */
    PollDistribution(
            Scheduler scheduler,
            InstanceRegistry registry,
            BalancerDirectory balancers,
            Supplier<Snapshot> committed,
            BooleanSupplier settled,
            FleetView fleet) {
        this.scheduler = scheduler;
        this.registry = registry;
        this.balancers = balancers;
        this.committed = committed;
        this.settled = settled;
        this.fleet = fleet;
    }

    /** Gives the replica that knows who is primary. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** This node is primary. */
    void lead() {
        leading = true;
        answerNews();
    }

    /** This node is primary no more: all that is held hears who is. */
    void follow() {
        leading = false;
        List<HeldPoll> held = new ArrayList<>(polls);
        polls.clear();
        held.forEach(p -> p.answer().accept(notPrimary()));
    }

    /** Answers the polls that were held for long enough. */
    void time(long now) {
        long hold = hold();
        List<HeldPoll> due = polls.stream().filter(p -> now - p.since() >= hold).toList();
        polls.removeAll(due);
        due.forEach(p -> p.answer().accept(reply(p.poll())));
    }

    /** Loads are the fresher the shorter polls are held; many balancers poll less often each. */
    private long hold() {
        long shared = HOLD_FOR_EACH * balancers.count(false);
        return Math.max(SHORTEST_HOLD, Math.min(LONGEST_HOLD, shared));
    }

    private Snapshot committed() {
        return committed.get();
    }

    private boolean settled() {
        return settled.getAsBoolean();
    }

    /** Takes a poll: it is answered at once if there is news, else when there is some. */
    void take(PollRequest poll, Consumer<Message> answer) {
        if (!leading || !replica.isRecentlyConfirmed()) {
            answer.accept(notPrimary());
            return;
        }
        balancers.heard(poll, scheduler.now());
        if (poll.leaving) {
            fleet.forget(poll.balancer);
        } else {
            fleet.take(poll.loadReport, scheduler.now());
        }
        if (poll.immediate || poll.leaving || hasNews(poll)) {
            answer.accept(reply(poll));
        } else {
            polls.add(new HeldPoll(poll, answer, scheduler.now()));
        }
    }

    private boolean hasNews(PollRequest poll) {
        return poll.epoch != replica.view().epoch
                || poll.generation < committed().generation
                || poll.instanceRevision < registry.revision()
                || !poll.hasAuthoritativeList && settled();
    }

    /** Answers the polls for which there is news. */
    void answerNews() {
        if (!leading || replica.state() != Replica.State.PRIMARY) {
            return;
        }
        List<HeldPoll> due = polls.stream().filter(p -> hasNews(p.poll())).toList();
        polls.removeAll(due);
        due.forEach(p -> p.answer().accept(reply(p.poll())));
    }

    private PollResponse notPrimary() {
        PollResponse reply = new PollResponse();
        Member primary = replica.primary();
        reply.primaryAddress =
                primary == null || primary.equals(replica.self()) ? "" : primary.address;
        reply.epoch = replica.view() == null ? 0 : replica.view().epoch;
        reply.controlNodeAddresses = addresses();
        return reply;
    }

    private List<String> addresses() {
        Set<String> addresses = new LinkedHashSet<>();
        if (replica.view() != null) {
            replica.view().group.forEach(m -> addresses.add(m.address));
        }
        return new ArrayList<>(addresses);
    }

    private PollResponse reply(PollRequest poll) {
        if (!replica.isRecentlyConfirmed()) {
            return notPrimary();
        }
        boolean young = !settled();
        PollResponse reply = new PollResponse();
        reply.fromPrimary = true;
        reply.primaryAddress = replica.self().address;
        reply.controlNodeAddresses = addresses();
        reply.epoch = replica.view().epoch;
        reply.generation = committed().generation;
        reply.document = poll.generation < committed().generation ? committed().document : NO_BYTES;
        reply.instanceRevision = registry.revision();
        reply.authoritative = !young;
        reply.fullInstanceList = poll.epoch != reply.epoch || !poll.hasAuthoritativeList;
        reply.instances = registry.since(reply.fullInstanceList ? 0 : poll.instanceRevision);
        reply.balancerCount = balancers.count(young);
        reply.fleetLoads = fleet.tell(poll.loadReport, reply.epoch, scheduler.now());
        reply.balancerListRevision = balancers.revision();
        if (reply.fullInstanceList || poll.balancerListRevision != reply.balancerListRevision) {
            reply.balancerList = balancers.members();
        }
        return reply;
    }
}
