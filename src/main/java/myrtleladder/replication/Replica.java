package myrtleladder.replication;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.JoinRequest;
import myrtleladder.protocol.JoinResponse;
import myrtleladder.protocol.LeaveRequest;
import myrtleladder.protocol.LeaveResponse;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.ResignRequest;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.View;
import myrtleladder.scheduler.Scheduler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Primary-backup replication with witnesses. A change is committed once every replica of the
 * current view has synced it. A view is installed under a new epoch by a member that is a replica
 * of the last view, once the replicas have the whole state and a majority of the group has stored
 * it; from the promise of an epoch on a member takes nothing from lower ones.
 */
public final class Replica {
    private static final Logger LOG = LogManager.getLogger(Replica.class);

    /** What this node is at the moment. */
    public enum State {
        /** Outside of the group: it asks to be admitted. */
        JOINING,
        /** A member that hears a primary or waits for one. */
        FOLLOWER,
        /** It tries to install a view. */
        CANDIDATE,
        /** It leads the view that holds. */
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

        /** A candidate handed over its upstreams along with the state. */
        void inherit(Collection<InstanceRecord> instances);
    }

    private final ReplicaOptions options;
    private final Scheduler scheduler;
    private final Peers peers;
    private final Listener listener;
    private final Supplier<List<InstanceRecord>> instances;
    private final List<InstanceRecord> instancesAtStart;
    private final StateKeeper keeper;
    private final Voter voter;
    private final Leadership leadership;
    private final Map<Member, Long> avoidUntil = new HashMap<>();
    private final Member self;
    private State state = State.JOINING;
    private View known;
    private Candidacy candidacy;
    private Departure departure;
    private boolean identityStored;
    private boolean leading;
    private long highestSeen;
    private long lastHeard;
    private long primaryHeardAt = Long.MIN_VALUE / 2;
    private long lastTick;
    private long lastJoin;
    private long patience = ReplicaTimes.FIRST_PATIENCE;
    private long suppressedUntil;
    private int joinTurn;

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
        this.peers = peers;
        this.listener = listener;
        this.instances = instances;
        StoredState first = onDisk == null ? firstState(newStore) : onDisk;
        this.instancesAtStart = first.instances;
        this.keeper = new StateKeeper(first, storage, scheduler, instances, this::diskFailed);
        this.self = Member.of(options.self().address, options.self().controlAddress, first.storeId);
        this.voter = new Voter(this);
        this.leadership = new Leadership(this, scheduler);
        this.known = first.acceptedView;
        this.identityStored = onDisk != null;
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
                        .map(s -> Member.of(s.address, s.controlAddress, firstStore(s)))
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
        StoredState stored = stored();
        LOG.info(
                "replica starts: store {} promised {} view {} generation {}",
                stored.storeId,
                stored.promisedEpoch,
                stored.acceptedView,
                stored.snapshot.generation);
        storeIdentity();
    }

    /** Nothing is said to others before they could know this node again. */
    private void storeIdentity() {
        saveState(
                stored(),
                ok -> {
                    if (!ok && !identityStored) {
                        scheduler.schedule(ReplicaTimes.SUPPRESSED, this::storeIdentity);
                        return;
                    }
                    identityStored = true;
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
        return stored().promisedEpoch;
    }

    /** The replicated state; committed if this node is primary and no change is under way. */
    public Snapshot snapshot() {
        return stored().snapshot;
    }

    /** Upstreams as the disk held them at the start. */
    public List<InstanceRecord> instancesAtStart() {
        return instancesAtStart;
    }

    /**
     * Whether a majority confirmed this primary a short while ago. A primary that installs another
     * view of its own still leads the one before: nobody else may while the members hear of it.
     */
    public boolean recentlyConfirmed() {
        boolean leads = state == State.PRIMARY || state == State.CANDIDATE && leading;
        return leads && leadership.recentlyConfirmed();
    }

    /** The primary if it was heard itself a short while ago, else null. */
    public Member primary() {
        if (state == State.PRIMARY) {
            return self;
        }
        boolean heard =
                scheduler.now() - primaryHeardAt < ReplicaTimes.PATIENCE + ReplicaTimes.HEARTBEAT;
        return known != null && heard ? known.primary : null;
    }

    /** Whether a change is under way. */
    public boolean busy() {
        return leadership.changing() || state == State.CANDIDATE;
    }

    /** Whether this node was asked to end and waits until it may. */
    public boolean leaving() {
        return departure != null;
    }

    // ---- Orders of this process
    // --------------------------------------------------------------------

    /** Asks a majority whether this node is still primary; the answer is handed over once. */
    public void confirm(Consumer<Boolean> done) {
        if (state == State.PRIMARY) {
            leadership.confirm(done);
        } else {
            done.accept(false);
        }
    }

    /**
     * Takes a change. It is told true once every replica has synced it, false if that is not known;
     * then it may be in force later or not.
     */
    public void submit(byte[] document, long generation, String order, Consumer<Boolean> done) {
        if (state != State.PRIMARY || leadership.changing()) {
            done.accept(false);
        } else {
            leadership.submit(document, generation, order, done);
        }
    }

    /** Writes what is known of upstreams along with the state, if this node holds copies. */
    public void saveInstances() {
        if (holdsCopy() && keeper.idle()) {
            saveState(stored(), ok -> {});
        }
    }

    /** Writes what is known of upstreams and tells when it is on the disk, false if it is not. */
    public void saveInstancesNow(Consumer<Boolean> done) {
        if (holdsCopy()) {
            saveState(stored(), done);
        } else {
            done.accept(false);
        }
    }

    /** Gives the role up and asks the next replica to take it. */
    public void resign(String why) {
        suppressedUntil = scheduler.now() + ReplicaTimes.SUPPRESSED;
        boolean was = state == State.PRIMARY;
        Member successor = was ? successor() : null;
        become(State.FOLLOWER, why);
        lastHeard = scheduler.now();
        if (successor != null) {
            peers.call(
                    successor.address,
                    ResignRequest.of(known.epoch),
                    ReplicaTimes.CALL,
                    answer -> {});
        }
    }

    private Member successor() {
        Member leaving = null;
        for (Member replica : known.replicas) {
            if (replica.equals(self)) {
                continue;
            }
            if (!leadership.leaves(replica)) {
                return replica;
            }
            leaving = replica;
        }
        return leaving;
    }

    /**
     * Leaves the group before this process ends: another node leads, copy and vote are handed over.
     * {@code ended} is run once, when nothing depends on this node any more or the time is over.
     */
    public void leave(long withinMs, Consumer<Boolean> ended) {
        if (departure != null) {
            return;
        }
        departure =
                new Departure(
                        self,
                        scheduler,
                        peers,
                        this::view,
                        seedAddresses(),
                        withinMs,
                        new Departure.Listener() {
                            @Override
                            public void learned(View view) {
                                learn(view);
                            }

                            @Override
                            public void ended(boolean released) {
                                LOG.info("leaves; released by the group: {}", released);
                                ended.accept(released);
                            }
                        });
        if (state == State.PRIMARY) {
            resign("asked to end");
        }
        departure.begin();
    }

    private Set<String> seedAddresses() {
        return options.seeds().stream().map(s -> s.address).collect(Collectors.toSet());
    }

    // ---- Changes of state
    // ----------------------------------------------------------------------------

    private void become(State next, String why) {
        if (state == next) {
            return;
        }
        State before = state;
        state = next;
        LOG.info("{} -> {} epoch {}: {}", before, next, stored().promisedEpoch, why);
        if (next != State.CANDIDATE && candidacy != null) {
            candidacy.end();
            candidacy = null;
        }
        if (next == State.FOLLOWER || next == State.JOINING) {
            leadership.ended();
            if (leading) {
                leading = false;
                listener.lostPrimacy();
            }
        }
    }

    private boolean holdsCopy() {
        return known != null && known.replicas.contains(self);
    }

    void saveState(StoredState next, Consumer<Boolean> done) {
        keeper.save(next, holdsCopy(), done);
    }

    /** Writes a state that makes this node a replica of the view that is to follow. */
    void saveCopy(StoredState next, Consumer<Boolean> done) {
        keeper.save(next, true, done);
    }

    boolean diskStuck() {
        return keeper.stuck();
    }

    private void diskFailed() {
        suppressedUntil = scheduler.now() + ReplicaTimes.SUPPRESSED;
        if (state == State.PRIMARY || state == State.CANDIDATE) {
            resign("the disk does not take the state");
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
            leadership.stoodStill(now);
        }
        lastTick = now;
        switch (state) {
            case PRIMARY -> leadership.time(now);
            case CANDIDATE -> candidacy.tick(now);
            default -> follow(now);
        }
    }

    private void follow(long now) {
        boolean member = inGroup();
        if ((!member || now - lastHeard > ReplicaTimes.LOOK_ROUND)
                && departure == null
                && now - lastJoin >= ReplicaTimes.JOIN) {
            lastJoin = now;
            join();
        }
        if (member && mayStand() && now >= suppressedUntil && !diskStuck()) {
            if (now - lastHeard > patience + extraPatience()) {
                stand(true, "no primary is heard");
            }
        }
    }

    /**
     * A replica of the last view known or stored; whoever promises knows whether a later one is.
     */
    private boolean mayStand() {
        View accepted = stored().acceptedView;
        return holdsCopy() || accepted != null && accepted.replicas.contains(self);
    }

    private long extraPatience() {
        int rank = known.replicas.indexOf(self);
        int place = rank >= 0 ? rank : known.replicas.size();
        long leaving = departure == null ? 0 : ReplicaTimes.LEAVING_PATIENCE;
        return leaving + place * ReplicaTimes.PATIENCE_BY_RANK;
    }

    /** Asks who leads, and to be admitted if this node is no member. */
    private void join() {
        List<String> others = NodeAddresses.others(self, known, seedAddresses());
        if (others.isEmpty()) {
            return;
        }
        Member primary = known == null ? null : known.primary;
        boolean named = primary != null && !primary.address.equals(self.address);
        String target =
                named && joinTurn % 2 == 0
                        ? primary.address
                        : others.get(joinTurn / 2 % others.size());
        joinTurn++;
        peers.call(
                target,
                JoinRequest.of(self),
                ReplicaTimes.CALL,
                answer -> {
                    if (answer instanceof JoinResponse reply && reply.view != null) {
                        learn(reply.view);
                    }
                });
    }

    private void learn(View view) {
        if (known == null || view.epoch > known.epoch) {
            known = view;
            if (state == State.FOLLOWER && !inGroup()) {
                become(State.JOINING, "not in the group of " + view);
            } else if (state == State.JOINING && inGroup()) {
                become(State.FOLLOWER, "in the group of " + view);
            }
        }
    }

    // ---- A new view
    // ----------------------------------------------------------------------------------

    void stand(boolean trial, String why) {
        boolean chosen = state == State.PRIMARY;
        GroupPlan plan = chosen ? leadership.plan() : GroupPlan.unchanged(known.group);
        become(State.CANDIDATE, why);
        lastHeard = scheduler.now();
        candidacy = new Candidacy(this, plan, chosen, trial);
        candidacy.begin();
    }

    void lost(String why, boolean soon) {
        lastHeard = scheduler.now();
        patience = soon ? ReplicaTimes.RETRY : ReplicaTimes.PATIENCE;
        become(inGroup() ? State.FOLLOWER : State.JOINING, why);
    }

    /** Another member holds a later copy: this one stands back for a while. */
    void notEligible(View last) {
        learn(last);
        suppressedUntil = scheduler.now() + ReplicaTimes.NOT_ELIGIBLE;
        lost("not a replica of " + last, false);
    }

    void won(View view, Collection<InstanceRecord> inherited) {
        known = view;
        lastHeard = scheduler.now();
        patience = ReplicaTimes.PATIENCE;
        become(State.PRIMARY, view.toString());
        leading = true;
        leadership.began(view);
        listener.becamePrimary(inherited);
    }

    void deposed(long epoch) {
        lastHeard = scheduler.now();
        become(State.FOLLOWER, "epoch " + epoch + " was promised to another");
    }

    StoredState stored() {
        return keeper.stored();
    }

    /** The highest epoch heard of; an attempt below it would be refused for ever. */
    long highestEpoch() {
        long ofView = known == null ? 0 : known.epoch;
        return Math.max(Math.max(highestSeen, ofView), stored().promisedEpoch);
    }

    void saw(long epoch) {
        highestSeen = Math.max(highestSeen, epoch);
    }

    void answered(Member member, long sentAt) {
        leadership.answered(member, sentAt);
    }

    void absent(Member joiner) {
        leadership.absent(joiner);
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

    void inherit(Collection<InstanceRecord> records) {
        listener.inherit(records);
    }

    boolean avoided(Member member) {
        return leadership.leaves(member) || avoidUntil.getOrDefault(member, 0L) > scheduler.now();
    }

    void avoidNow(Member member) {
        avoidUntil.put(member, scheduler.now() + ReplicaTimes.SUPPRESSED);
    }

    void know(View view) {
        learn(view);
    }

    // ---- What the voter tells
    // ----------------------------------------------------------------------

    /** Whether a primary other than the given candidate was heard a short while ago. */
    boolean hears(Member candidate) {
        if (state == State.PRIMARY) {
            return leadership.recentlyConfirmed();
        }
        return scheduler.now() - primaryHeardAt < ReplicaTimes.FIRST_PATIENCE
                && state == State.FOLLOWER
                && known.primary != null
                && !known.primary.equals(candidate)
                && stored().promisedEpoch <= known.epoch;
    }

    /** An epoch is about to be promised to a candidate. */
    void yieldTo(long epoch, Member candidate) {
        lastHeard = scheduler.now();
        if (state == State.PRIMARY || state == State.CANDIDATE) {
            become(State.FOLLOWER, "epoch " + epoch + " is prepared by " + candidate);
        }
    }

    void heardFromCandidate() {
        lastHeard = scheduler.now();
    }

    /** Follows the primary of a view, whose own message told it. */
    void adopt(View view) {
        learn(view);
        lastHeard = scheduler.now();
        primaryHeardAt = lastHeard;
        patience = ReplicaTimes.PATIENCE;
        if (state != State.FOLLOWER && view.group.contains(self)) {
            become(State.FOLLOWER, "follows " + view.primary);
        }
    }

    // ---- Messages
    // ------------------------------------------------------------------------------------

    /** Takes a message of another node; the answer, if there is to be one, is handed over once. */
    public boolean receive(Message message, Consumer<Message> answer) {
        if (!identityStored) {
            answer.accept(null);
        } else if (message instanceof ResignRequest resign) {
            resigned(resign, answer);
        } else if (message instanceof JoinRequest join) {
            joined(join, answer);
        } else if (message instanceof LeaveRequest leave) {
            boolean released = state == State.PRIMARY && leadership.leave(leave.member);
            answer.accept(LeaveResponse.of(released, known));
        } else {
            return voter.receive(message, answer);
        }
        return true;
    }

    private void resigned(ResignRequest message, Consumer<Message> answer) {
        answer.accept(AcknowledgeResponse.of(true, stored().promisedEpoch, self));
        boolean next = known != null && known.epoch == message.epoch && holdsCopy();
        if (next
                && departure == null
                && state == State.FOLLOWER
                && scheduler.now() >= suppressedUntil) {
            stand(false, "the primary resigned");
        }
    }

    private void joined(JoinRequest message, Consumer<Message> answer) {
        if (state == State.PRIMARY) {
            leadership.join(message.member);
        }
        answer.accept(JoinResponse.of(known));
    }
}
