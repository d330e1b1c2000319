package yewyoke.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import yewyoke.io.Scheduler;
import yewyoke.message.Accept;
import yewyoke.message.Acknowledge;
import yewyoke.message.Heartbeat;
import yewyoke.message.Install;
import yewyoke.message.InstanceRecord;
import yewyoke.message.Join;
import yewyoke.message.JoinReply;
import yewyoke.message.Member;
import yewyoke.message.Message;
import yewyoke.message.Prepare;
import yewyoke.message.Promise;
import yewyoke.message.Replicate;
import yewyoke.message.Resign;
import yewyoke.message.Snapshot;
import yewyoke.message.StoredState;
import yewyoke.message.View;

/**
 * Primary-backup replication with witnesses. A change is committed once every replica of the
 * current view has synced it. A view is installed under a new epoch by a member that is a replica
 * of the last view, once the replicas have the whole state and a majority of the group has stored
 * it; from the promise of an epoch on a member takes nothing from lower ones.
 */
public final class Replica {
    private static final Logger LOG = LogManager.getLogger(Replica.class);
    private static final int MOST_ORDERS = 2_000;

    /** What this node is at the moment. */
    public enum State {
        JOINING,
        FOLLOWER,
        CANDIDATE,
        PRIMARY
    }

    /** Who hears of changes of the role. */
    public interface Listener {
        /**
         * This node is primary of a new epoch; {@code instances} are the upstreams that others
         * knew.
         */
        void becamePrimary(Collection<InstanceRecord> instances);

        /** This node is primary no more. */
        void lostPrimacy();
    }

    private final ReplicaOptions options;
    private final Scheduler scheduler;
    private final Storage storage;
    private final Peers peers;
    private final Listener listener;
    private final Supplier<List<InstanceRecord>> instances;
    private final Set<Member> joiners = new LinkedHashSet<>();
    private final List<Confirmation> confirming = new ArrayList<>();
    private final Map<Member, Long> heardFrom = new HashMap<>();
    private final Map<Member, Long> avoidUntil = new HashMap<>();
    private Member self;
    private State state = State.JOINING;
    private StoredState stored;
    private View known;
    private Candidacy candidacy;
    private long highestSeen;
    private long lastHeard;
    private long lastTick;
    private long lastJoin;
    private long lastHeartbeat;
    private long patience = ReplicaTimes.FIRST_PATIENCE;
    private long suppressedUntil;
    private long savingSince;
    private int saving;
    private int joinTurn;
    private boolean leading;
    private Member promisedTo;
    private List<InstanceRecord> instancesAtStart = List.of();
    private Pending pending;

    /** Somebody who waits for the word of a majority. */
    private static final class Confirmation {
        final Consumer<Boolean> done;

        Confirmation(Consumer<Boolean> done) {
            this.done = done;
        }
    }

    /** A change on its way to the replicas. */
    private static final class Pending {
        final Snapshot snapshot;
        final Consumer<Boolean> done;
        int missing;

        Pending(Snapshot snapshot, Consumer<Boolean> done) {
            this.snapshot = snapshot;
            this.done = done;
        }
    }

    /** Creates a replica from what its disk held, null for an empty one. */
    public Replica(
            ReplicaOptions options,
            StoredState onDisk,
            String newStore,
            Scheduler scheduler,
            Storage storage,
            Peers peers,
            Listener listener,
            Supplier<List<InstanceRecord>> instances) {
        this.options = options;
        this.scheduler = scheduler;
        this.storage = storage;
        this.peers = peers;
        this.listener = listener;
        this.instances = instances;
        Member own = options.self();
        if (onDisk != null) {
            stored = onDisk;
            instancesAtStart = onDisk.instances;
            self = Member.of(own.address, own.control, onDisk.store);
        } else {
            stored = firstState(newStore);
            self = Member.of(own.address, own.control, stored.store);
        }
        known = stored.accepted;
    }

    /**
     * On the first start of the system the seeds are the group, under identities that all can tell.
     */
    private StoredState firstState(String newStore) {
        boolean seed =
                options.seeds().stream().anyMatch(s -> s.address.equals(options.self().address));
        if (!options.bootstrap() || !seed) {
            return StoredState.of(newStore, 0, null, new Snapshot());
        }
        List<Member> group =
                options.seeds().stream()
                        .map(s -> Member.of(s.address, s.control, firstStore(s)))
                        .toList();
        return StoredState.of(
                firstStore(options.self()),
                0,
                View.of(0, null, group, group, group),
                new Snapshot());
    }

    private static String firstStore(Member seed) {
        return "first-" + seed.address;
    }

    /** Begins to take part. */
    public void start() {
        lastHeard = scheduler.now();
        lastTick = lastHeard;
        LOG.info(
                "replica starts: store {} promised {} view {} generation {}",
                stored.store,
                stored.promised,
                stored.accepted,
                stored.snapshot.generation);
        save(
                stored,
                ok -> {
                    if (inGroup()) {
                        become(State.FOLLOWER, "in the group");
                    }
                    tick();
                });
    }

    // ---- What others may ask
    // -------------------------------------------------------------------------

    /** What this node is. */
    public State state() {
        return state;
    }

    /** The view that holds as far as this node knows, null if it knows none. */
    public View view() {
        return known;
    }

    /** This node. */
    public Member self() {
        return self;
    }

    /** The epoch promised last. */
    public long epoch() {
        return stored.promised;
    }

    /** The replicated state; committed if this node is primary and no change is under way. */
    public Snapshot snapshot() {
        return stored.snapshot;
    }

    /** Whether a majority confirmed this primary a short while ago. */
    public boolean recentlyConfirmed() {
        if (state != State.PRIMARY) {
            return false;
        }
        long now = scheduler.now();
        List<Member> heard = new ArrayList<>();
        heard.add(self);
        heardFrom.forEach(
                (member, at) -> {
                    if (now - at <= ReplicaTimes.CONFIRMED_FOR) {
                        heard.add(member);
                    }
                });
        return known.hasMajority(heard);
    }

    /** The primary if one was heard of lately, else null. */
    public Member primary() {
        if (state == State.PRIMARY) {
            return self;
        }
        boolean heard =
                scheduler.now() - lastHeard < ReplicaTimes.PATIENCE + ReplicaTimes.HEARTBEAT;
        return known != null && heard ? known.primary : null;
    }

    // ---- Changes of state
    // ----------------------------------------------------------------------------

    private void become(State next, String why) {
        if (state == next) {
            return;
        }
        State before = state;
        state = next;
        LOG.info("{} -> {} epoch {}: {}", before, next, stored.promised, why);
        if (next != State.CANDIDATE && candidacy != null) {
            candidacy.end();
            candidacy = null;
        }
        if (next == State.FOLLOWER) {
            joiners.clear();
            finishPending(false);
            new ArrayList<>(confirming).forEach(c -> confirmed(c, false));
            if (leading) {
                leading = false;
                listener.lostPrimacy();
            }
        }
    }

    private void save(StoredState next, Consumer<Boolean> done) {
        stored = next;
        if (saving++ == 0) {
            savingSince = scheduler.now();
        }
        boolean holdsState = known != null && known.replicas.contains(self);
        storage.save(
                holdsState ? next.withInstances(instances.get()) : next,
                ok -> {
                    saving--;
                    savingSince = scheduler.now();
                    if (!ok) {
                        diskFailed();
                    }
                    done.accept(ok);
                });
    }

    private boolean diskStuck() {
        return saving > 0 && scheduler.now() - savingSince > ReplicaTimes.DISK_PATIENCE;
    }

    private void diskFailed() {
        suppressedUntil = scheduler.now() + ReplicaTimes.SUPPRESSED;
        if (state == State.PRIMARY || state == State.CANDIDATE) {
            resign("the disk does not take the state");
        }
    }

    /** Gives the role up and asks the next replica to take it. */
    public void resign(String why) {
        suppressedUntil = scheduler.now() + ReplicaTimes.SUPPRESSED;
        boolean was = state == State.PRIMARY;
        become(State.FOLLOWER, why);
        lastHeard = scheduler.now();
        if (!was) {
            return;
        }
        for (Member replica : known.replicas) {
            if (!replica.equals(self)) {
                peers.call(
                        replica.address, Resign.of(known.epoch), ReplicaTimes.CALL, answer -> {});
                return;
            }
        }
    }

    private boolean inGroup() {
        return known != null && known.group.contains(self);
    }

    // ---- Time
    // ----------------------------------------------------------------------------------------

    private void tick() {
        long now = scheduler.now();
        scheduler.schedule(ReplicaTimes.TICK, this::tick);
        if (now - lastTick > ReplicaTimes.FROZEN) {
            lastHeard = now; // this process stood still: the silence was its own
            heardFrom.clear();
            if (state == State.PRIMARY) {
                lastHeartbeat = 0;
            }
        }
        lastTick = now;
        switch (state) {
            case PRIMARY -> lead(now);
            case CANDIDATE -> candidacy.tick(now);
            default -> follow(now);
        }
    }

    private void follow(long now) {
        if (!inGroup()) {
            if (now - lastJoin >= ReplicaTimes.JOIN) {
                lastJoin = now;
                join();
            }
            return;
        }
        int rank = known.replicas.indexOf(self);
        boolean patientEnough = now - lastHeard > patience + rank * ReplicaTimes.PATIENCE_BY_RANK;
        if (rank >= 0 && patientEnough && now >= suppressedUntil && !diskStuck()) {
            stand(true, "no primary is heard");
        }
    }

    private void join() {
        Set<String> addresses = new LinkedHashSet<>();
        options.seeds().forEach(s -> addresses.add(s.address));
        if (known != null) {
            known.group.forEach(m -> addresses.add(m.address));
        }
        addresses.remove(self.address);
        if (addresses.isEmpty()) {
            return;
        }
        List<String> all = new ArrayList<>(addresses);
        View view = known;
        String first = view != null && view.primary != null ? view.primary.address : null;
        String target =
                first != null && joinTurn % 2 == 0 && !first.equals(self.address)
                        ? first
                        : all.get(joinTurn / 2 % all.size());
        joinTurn++;
        peers.call(
                target,
                Join.of(self),
                ReplicaTimes.CALL,
                answer -> {
                    if (answer instanceof JoinReply reply && reply.view != null) {
                        learn(reply.view);
                    }
                });
    }

    private void learn(View view) {
        if (known == null || view.epoch > known.epoch) {
            known = view;
        }
    }

    // ---- The primary
    // ---------------------------------------------------------------------------------

    private void lead(long now) {
        if (diskStuck()) {
            resign("the disk does not answer");
            return;
        }
        if (now - lastHeartbeat >= ReplicaTimes.HEARTBEAT) {
            lastHeartbeat = now;
            sendHeartbeats(heard -> {});
        }
        for (Member replica : known.replicas) {
            boolean silent =
                    now - heardFrom.getOrDefault(replica, lastHeard) > ReplicaTimes.REPLICA_SILENT;
            if (!replica.equals(self) && silent) {
                avoid(replica);
                stand(false, "replica " + replica + " is silent");
                return;
            }
        }
        joiners.removeIf(known.group::contains);
        if (pending == null && !known.settled()) {
            stand(false, "the group settles");
        } else if (pending == null && (!joiners.isEmpty() || !superfluous(now).isEmpty())) {
            stand(false, "the group changes");
        }
    }

    private void sendHeartbeats(Consumer<Set<Member>> progress) {
        Set<Member> heard = new LinkedHashSet<>();
        heard.add(self);
        View view = known;
        progress.accept(heard);
        for (Member member : view.group) {
            if (member.equals(self)) {
                continue;
            }
            peers.call(
                    member.address,
                    Heartbeat.of(view),
                    ReplicaTimes.CALL,
                    answer -> {
                        if (answer instanceof Acknowledge reply
                                && reply.member != null
                                && state == State.PRIMARY
                                && known == view) {
                            acknowledged(reply, heard);
                            progress.accept(heard);
                        }
                    });
        }
    }

    private void acknowledged(Acknowledge reply, Set<Member> heard) {
        if (reply.promised > stored.promised) {
            deposed(reply.promised);
        } else if (reply.taken) {
            heardFrom.put(reply.member, scheduler.now());
            heard.add(reply.member);
        }
    }

    private void deposed(long epoch) {
        lastHeard = scheduler.now();
        become(State.FOLLOWER, "epoch " + epoch + " was promised to another");
    }

    /** Asks a majority whether this node is still primary; the answer is handed over once. */
    public void confirm(Consumer<Boolean> done) {
        if (state != State.PRIMARY) {
            done.accept(false);
            return;
        }
        View view = known;
        Confirmation confirmation = new Confirmation(done);
        confirming.add(confirmation);
        scheduler.schedule(
                ReplicaTimes.CALL + ReplicaTimes.TICK, () -> confirmed(confirmation, false));
        sendHeartbeats(
                heard -> {
                    if (view.hasMajority(heard)) {
                        confirmed(confirmation, state == State.PRIMARY);
                    }
                });
    }

    private void confirmed(Confirmation confirmation, boolean still) {
        if (confirming.remove(confirmation)) {
            confirmation.done.accept(still);
        }
    }

    /** Writes what is known of upstreams along with the state, if this node holds it. */
    public void saveInstances() {
        if (known != null && known.replicas.contains(self) && saving == 0) {
            save(stored, ok -> {});
        }
    }

    /** Upstreams as the disk held them at the start. */
    public List<InstanceRecord> instancesAtStart() {
        return instancesAtStart;
    }

    /** Whether a change is under way. */
    public boolean busy() {
        return pending != null || state == State.CANDIDATE;
    }

    /**
     * Takes a change. It is told true once every replica has synced it, false if that is not known;
     * then it may be in force later or not.
     */
    public void submit(byte[] document, long generation, String order, Consumer<Boolean> done) {
        if (state != State.PRIMARY || pending != null) {
            done.accept(false);
            return;
        }
        Snapshot next = Snapshot.of(document, generation, withOrder(stored.snapshot.orders, order));
        Pending change = new Pending(next, done);
        pending = change;
        View view = known;
        change.missing = view.replicas.size();
        save(stored.withSnapshot(next), ok -> replicated(change, ok, self));
        for (Member replica : view.replicas) {
            if (!replica.equals(self)) {
                peers.call(
                        replica.address,
                        Replicate.of(view.epoch, document, generation, order),
                        ReplicaTimes.DISK_PATIENCE,
                        answer -> {
                            boolean taken =
                                    answer instanceof Acknowledge reply
                                            && reply.taken
                                            && replica.equals(reply.member);
                            if (answer instanceof Acknowledge reply
                                    && reply.promised > stored.promised) {
                                deposed(reply.promised);
                            }
                            replicated(change, taken, replica);
                        });
            }
        }
    }

    private static List<String> withOrder(List<String> orders, String order) {
        List<String> next = new ArrayList<>(orders);
        next.add(order);
        return next.size() > MOST_ORDERS
                ? next.subList(next.size() - MOST_ORDERS, next.size())
                : next;
    }

    private void replicated(Pending change, boolean taken, Member replica) {
        if (pending != change || state != State.PRIMARY) {
            return;
        }
        if (!taken) {
            if (!replica.equals(self)) {
                avoid(replica);
                stand(false, "replica " + replica + " does not take a change");
            }
            return;
        }
        heardFrom.put(replica, scheduler.now());
        if (--change.missing == 0) {
            finishPending(true);
        }
    }

    private void finishPending(boolean committed) {
        Pending change = pending;
        pending = null;
        if (change != null) {
            change.done.accept(committed);
        }
    }

    private void avoid(Member member) {
        avoidUntil.put(member, scheduler.now() + ReplicaTimes.SUPPRESSED);
    }

    private List<Member> superfluous(long now) {
        int least = 2 * options.tolerated() + 1;
        if (known.group.size() <= least) {
            return List.of();
        }
        List<Member> silent = new ArrayList<>();
        for (Member member : known.group) {
            boolean gone =
                    now - heardFrom.getOrDefault(member, lastHeard) > ReplicaTimes.MEMBER_SILENT;
            if (!member.equals(self) && gone && known.group.size() - silent.size() > least) {
                silent.add(member);
            }
        }
        return silent;
    }

    // ---- A new view
    // ----------------------------------------------------------------------------------

    private void stand(boolean trial, String why) {
        List<Member> group = nextGroup();
        boolean chosen = state == State.PRIMARY;
        become(State.CANDIDATE, why);
        lastHeard = scheduler.now();
        candidacy = new Candidacy(this, group, chosen, trial);
        candidacy.begin();
    }

    /**
     * The group with those who ask to be admitted, without those whose store or machine is gone.
     */
    private List<Member> nextGroup() {
        List<Member> group = new ArrayList<>(known.group);
        if (state != State.PRIMARY || !known.settled()) {
            return group;
        }
        group.removeAll(superfluous(scheduler.now()));
        for (Member joiner : joiners) {
            group.removeIf(m -> m.address.equals(joiner.address));
            group.add(joiner);
        }
        return group;
    }

    void lost(String why, boolean soon) {
        lastHeard = scheduler.now();
        patience = soon ? ReplicaTimes.RETRY : ReplicaTimes.PATIENCE;
        become(State.FOLLOWER, why);
    }

    void won(View view, Collection<InstanceRecord> inherited) {
        learn(view);
        known = view;
        long now = scheduler.now();
        view.group.forEach(m -> heardFrom.put(m, now));
        lastHeard = now;
        patience = ReplicaTimes.PATIENCE;
        joiners.removeIf(view.group::contains);
        become(State.PRIMARY, view.toString());
        leading = true;
        finishPending(true);
        listener.becamePrimary(inherited);
    }

    void saveState(StoredState next, Consumer<Boolean> done) {
        save(next, done);
    }

    StoredState stored() {
        return stored;
    }

    /** The highest epoch heard of; an attempt below it would be refused for ever. */
    long highestEpoch() {
        return Math.max(highestSeen, stored.promised);
    }

    void saw(long epoch) {
        highestSeen = Math.max(highestSeen, epoch);
    }

    Scheduler scheduler() {
        return scheduler;
    }

    Peers peers() {
        return peers;
    }

    ReplicaOptions options() {
        return options;
    }

    List<InstanceRecord> instances() {
        return instances.get();
    }

    boolean avoided(Member member) {
        return avoidUntil.getOrDefault(member, 0L) > scheduler.now();
    }

    void avoidNow(Member member) {
        avoid(member);
    }

    void know(View view) {
        learn(view);
    }

    // ---- Messages
    // ------------------------------------------------------------------------------------

    /** Takes a message of another node; the answer, if there is to be one, is handed over once. */
    public boolean receive(Message message, Consumer<Message> answer) {
        if (message instanceof Prepare prepare) {
            prepare(prepare, answer);
        } else if (message instanceof Install install) {
            install(install, answer);
        } else if (message instanceof Accept accept) {
            accept(accept.view, answer);
        } else if (message instanceof Replicate replicate) {
            replicate(replicate, answer);
        } else if (message instanceof Heartbeat heartbeat) {
            heartbeat(heartbeat.view, answer);
        } else if (message instanceof Resign resign) {
            resigned(resign, answer);
        } else if (message instanceof Join join) {
            joined(join, answer);
        } else {
            return false;
        }
        return true;
    }

    private Acknowledge reply(boolean taken) {
        return Acknowledge.of(taken, stored.promised, self);
    }

    private void prepare(Prepare message, Consumer<Message> answer) {
        boolean hears =
                state == State.PRIMARY && recentlyConfirmed()
                        || scheduler.now() - lastHeard < ReplicaTimes.FIRST_PATIENCE
                                && state == State.FOLLOWER
                                && known != null
                                && known.primary != null
                                && !known.primary.equals(message.candidate)
                                && stored.promised <= known.epoch;
        if (message.trial) {
            answer.accept(promise(message.epoch > stored.promised && !hears));
            return;
        }
        if (message.epoch == stored.promised && message.candidate.equals(promisedTo)) {
            save(
                    stored,
                    ok ->
                            answer.accept(
                                    ok ? promise(true) : null)); // asked again: the answer was lost
            return;
        }
        if (message.epoch <= stored.promised) {
            answer.accept(promise(false));
            return;
        }
        lastHeard = scheduler.now();
        promisedTo = message.candidate;
        if (state == State.PRIMARY || state == State.CANDIDATE) {
            become(
                    State.FOLLOWER,
                    "epoch " + message.epoch + " is prepared by " + message.candidate);
        }
        save(stored.withPromised(message.epoch), ok -> answer.accept(ok ? promise(true) : null));
    }

    private Promise promise(boolean granted) {
        Promise promise = new Promise();
        promise.granted = granted;
        promise.promised = stored.promised;
        promise.member = self;
        promise.accepted = stored.accepted;
        promise.instances = granted ? new ArrayList<>(instances.get()) : new ArrayList<>();
        return promise;
    }

    private void install(Install message, Consumer<Message> answer) {
        if (message.epoch != stored.promised) {
            answer.accept(reply(false));
            return;
        }
        lastHeard = scheduler.now();
        save(stored.withSnapshot(message.snapshot), ok -> answer.accept(ok ? reply(true) : null));
    }

    private void accept(View view, Consumer<Message> answer) {
        if (view.epoch < stored.promised) {
            answer.accept(reply(false));
            return;
        }
        adopt(view);
        save(stored.withAccepted(view), ok -> answer.accept(ok ? reply(true) : null));
    }

    private void adopt(View view) {
        learn(view);
        lastHeard = scheduler.now();
        patience = ReplicaTimes.PATIENCE;
        if (state != State.FOLLOWER && view.group.contains(self)) {
            become(State.FOLLOWER, "follows " + view.primary);
        }
    }

    private void replicate(Replicate message, Consumer<Message> answer) {
        View accepted = stored.accepted;
        boolean current =
                accepted != null
                        && accepted.epoch == message.epoch
                        && stored.promised == message.epoch
                        && accepted.replicas.contains(self);
        if (!current) {
            answer.accept(reply(false));
            return;
        }
        lastHeard = scheduler.now();
        Snapshot next =
                Snapshot.of(
                        message.document,
                        message.generation,
                        withOrder(stored.snapshot.orders, message.order));
        save(stored.withSnapshot(next), ok -> answer.accept(ok ? reply(true) : null));
    }

    private void heartbeat(View view, Consumer<Message> answer) {
        if (view.epoch < stored.promised) {
            answer.accept(reply(false));
            return;
        }
        adopt(view);
        if (stored.accepted == null || view.epoch > stored.accepted.epoch) {
            save(stored.withAccepted(view), ok -> answer.accept(ok ? reply(true) : null));
            return;
        }
        answer.accept(reply(true));
    }

    private void resigned(Resign message, Consumer<Message> answer) {
        answer.accept(reply(true));
        boolean next =
                known != null && known.epoch == message.epoch && known.replicas.contains(self);
        if (next && state == State.FOLLOWER && scheduler.now() >= suppressedUntil) {
            stand(false, "the primary resigned");
        }
    }

    private void joined(Join message, Consumer<Message> answer) {
        if (state == State.PRIMARY && !known.group.contains(message.member)) {
            joiners.add(message.member);
        }
        answer.accept(JoinReply.of(known));
    }
}
