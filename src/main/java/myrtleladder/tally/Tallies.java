package myrtleladder.tally;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.TallyAddition;
import myrtleladder.protocol.TallyStateSummary;
import myrtleladder.protocol.TallySyncRequest;
import myrtleladder.protocol.TallySyncResponse;
import myrtleladder.replication.PeerTransport;
import myrtleladder.scheduler.Scheduler;

/**
 * The tallies on one node: named sums of additions, where additions with the same id count once.
 * Every node accepts additions, on either side of a partition, and the sums converge on all nodes
 * that reach each other (a state-based grow-only set of additions, identified by replica and
 * sequence number).
 *
 * <p>Entry point of the package. Confined to the event loop of the scheduler, which also runs all
 * callbacks.
 */
public final class Tallies {
    /**
     * The number of additions at which new ids are rejected; additions of other nodes are still
     * merged.
     */
    private static final int MAX_ADDITIONS = 200_000;

    /** Longest wait for this node's disk before it responds to a push. */
    private static final long MAX_DURABILITY_WAIT_MS = 500;

    /**
     * A gap between two refreshes of the peers that is longer than this means that the process was
     * suspended.
     */
    private static final long SUSPENSION_THRESHOLD_MS = 2 * AntiEntropy.ROUND_INTERVAL_MS;

    private static final List<String> NO_REPLICAS = List.of();

    private final TallyOptions options;
    private final Scheduler scheduler;
    private final TallySet additions = new TallySet();
    private final DurableAdditions durable;
    private final TallyPeers peers;
    private final CatchUp catchUp;
    private final PendingAdditions pending;
    private final AntiEntropy antiEntropy;
    private Supplier<? extends Collection<String>> memberAddresses = List::of;
    private final TallyStorage storage;

    /** Whether the disk is known to hold everything that a restart of this node needs. */
    private boolean isDiskComplete;

    private boolean isStarted;
    private long lastRefreshMs;
    private long acknowledgedCount;
    private long uncertainCount;
    private long refusedCount;
    private long reachabilityChangeCount;

    /**
     * Creates the tallies of a node, which exchanges additions after {@link #start}.
     *
     * @param additionsOnDisk the additions that were on the disk at startup, those of each replica
     *     in order
     */
    public Tallies(
            TallyOptions options,
            Scheduler scheduler,
            PeerTransport transport,
            TallyStorage storage,
            List<TallyAddition> additionsOnDisk) {
        this.options = options;
        this.scheduler = scheduler;
        this.storage = storage;
        this.isDiskComplete = options.isDiskComplete();
        peers = new TallyPeers(options.address());
        durable = new DurableAdditions(scheduler, storage, this::checkProgress);
        durable.recover(additions.merge(additionsOnDisk));
        catchUp = new CatchUp(additions, peers, !options.isDiskComplete());
        ExchangeListener listener = new ExchangeListener();
        AdditionPusher pusher =
                new AdditionPusher(
                        scheduler,
                        transport,
                        peers,
                        additions,
                        () -> summaryOf(NO_REPLICAS),
                        listener);
        DurabilityRule durabilityRule = new DurabilityRule(options, peers, durable);
        pending = new PendingAdditions(scheduler, options, peers, durabilityRule, pusher);
        antiEntropy = new AntiEntropy(scheduler, transport, peers, this::summary, listener);
    }

    /**
     * Starts to exchange additions with other nodes. Called once.
     *
     * @param members supplies the internal addresses of the current members of the group
     */
    public void start(Supplier<? extends Collection<String>> members) {
        memberAddresses = members;
        isStarted = true;
        lastRefreshMs = scheduler.now();
        updatePeers();
        antiEntropy.start();
        catchUp.start();
        scheduler.schedule(AntiEntropy.ROUND_INTERVAL_MS, this::refreshPeers);
    }

    private void refreshPeers() {
        scheduler.schedule(AntiEntropy.ROUND_INTERVAL_MS, this::refreshPeers);
        long nowMs = scheduler.now();
        if (nowMs - lastRefreshMs > SUSPENSION_THRESHOLD_MS) {
            peers.all().forEach(TallyPeer::resetFailures);
        }
        lastRefreshMs = nowMs;
        updatePeers();
    }

    private void updatePeers() {
        Set<String> addresses = new LinkedHashSet<>(options.seeds());
        addresses.addAll(memberAddresses.get());
        peers.update(addresses, scheduler.now()).forEach(antiEntropy::pull);
    }

    /**
     * Adds to a tally. Idempotent: additions with the same id count once, on whichever nodes they
     * are requested.
     *
     * @param amount the amount to add; not negative
     * @param done receives the result; called once
     */
    public void add(String tally, String id, long amount, Consumer<AdditionResult> done) {
        TallyAddition known = additions.find(tally, id);
        if (!catchUp.isDone() || (known == null && additions.size() >= MAX_ADDITIONS)) {
            refusedCount++;
            done.accept(AdditionResult.REFUSED);
            return;
        }
        TallyAddition addition = known == null ? create(tally, id, amount) : known;
        pending.await(
                addition.replica,
                addition.sequence,
                result -> {
                    countResult(result);
                    done.accept(result);
                });
    }

    private TallyAddition create(String tally, String id, long amount) {
        long sequence = additions.vector().get(options.process()) + 1;
        TallyAddition created = TallyAddition.of(options.process(), sequence, tally, id, amount);
        merge(List.of(created));
        return created;
    }

    private void merge(List<TallyAddition> received) {
        List<TallyAddition> added = additions.merge(received);
        if (!added.isEmpty()) {
            durable.append(added);
        }
    }

    private void countResult(AdditionResult result) {
        if (result == AdditionResult.ACKNOWLEDGED) {
            acknowledgedCount++;
        } else {
            uncertainCount++;
        }
    }

    /**
     * Returns the sum of a tally, 0 for an unknown name, or empty until this node has caught up.
     */
    public OptionalLong total(String tally) {
        return catchUp.isDone() ? OptionalLong.of(additions.total(tally)) : OptionalLong.empty();
    }

    /**
     * Handles a push or pull request from another node.
     *
     * @param answer receives the response, or null if none is to be sent; called once
     */
    public void receive(TallySyncRequest request, Consumer<Message> answer) {
        if (!isStarted || request.sender.address.equals(options.address())) {
            answer.accept(null);
            return;
        }
        updateSender(request.sender);
        merge(request.additions);
        if (request.awaited.isEmpty()) {
            VersionVector known = VersionVector.of(request.sender.known);
            List<TallyAddition> missing = additions.missingFrom(known, request.maxAdditions);
            answer.accept(TallySyncResponse.of(summary(), missing));
        } else {
            respondOnceDurable(VersionVector.of(request.awaited), answer);
        }
        checkProgress();
    }

    private void updateSender(TallyStateSummary sender) {
        if (peers.isUnknownPeer(sender.address)) {
            antiEntropy.pull(peers.add(sender.address, scheduler.now()));
        }
        TallyPeer peer = peers.get(sender.address);
        peer.update(sender);
        peer.resetFailures();
    }

    private void respondOnceDurable(VersionVector awaited, Consumer<Message> answer) {
        Runnable respond =
                () -> answer.accept(TallySyncResponse.of(summaryOf(awaited.replicas()), List.of()));
        if (additions.vector().includes(awaited)) {
            durable.whenDurable(awaited, MAX_DURABILITY_WAIT_MS, respond);
        } else {
            respond.run();
        }
    }

    private TallyStateSummary summary() {
        return summaryOf(additions.vector().replicas());
    }

    /** Returns the summary of this node for its peers, with the positions of some replicas. */
    private TallyStateSummary summaryOf(Collection<String> replicas) {
        VersionVector known = additions.vector().restrictedTo(replicas);
        return TallyStateSummary.of(
                options.address(),
                options.zone(),
                options.process(),
                known.toPositions(),
                durable.durableVector().positionsBehind(known),
                catchUp.isDone());
    }

    private void checkProgress() {
        pending.acknowledgeDurable();
        catchUp.updateCompletion();
        if (!isDiskComplete && catchUp.isDone() && durable.unsyncedCount() == 0) {
            isDiskComplete = true;
            storage.markComplete();
        }
    }

    /** Returns the metrics that operators see. */
    public TallyMetrics metrics() {
        Map<String, TallyMetrics.Peer> peerMetrics = new LinkedHashMap<>();
        for (TallyPeer peer : peers.all()) {
            peerMetrics.put(
                    peer.address(),
                    new TallyMetrics.Peer(
                            peer.reachability().name(),
                            peer.zone(),
                            peer.known().countMissing(additions.vector()),
                            additions.vector().countMissing(peer.known())));
        }
        return new TallyMetrics(
                catchUp.isDone(),
                additions.tallyCount(),
                additions.size(),
                durable.unsyncedCount(),
                durable.failureCount(),
                pending.size(),
                acknowledgedCount,
                uncertainCount,
                refusedCount,
                reachabilityChangeCount,
                peerMetrics);
    }

    /** Handles the outcome of the requests that this node sent. */
    private final class ExchangeListener implements AntiEntropy.Listener, AdditionPusher.Listener {
        @Override
        public void onPulled(TallyPeer peer, TallySyncResponse response) {
            onResponse(peer, response.sender);
            catchUp.onResponse(peer);
            merge(response.additions);
            checkProgress();
        }

        @Override
        public void onPushed(TallyPeer peer, TallySyncResponse response) {
            onResponse(peer, response.sender);
            checkProgress();
        }

        private void onResponse(TallyPeer peer, TallyStateSummary sender) {
            peer.update(sender);
            countReachabilityChange(peer.onResponse(scheduler.now()));
        }

        @Override
        public void onPullFailed(TallyPeer peer, long sentAtMs) {
            boolean hasChanged = peer.onRequestFailed(sentAtMs, scheduler.now());
            countReachabilityChange(hasChanged);
            if (hasChanged) {
                checkProgress();
            }
        }

        @Override
        public void onPushFailed(TallyPeer peer) {
            pending.pushAllToReachablePeers();
        }

        private void countReachabilityChange(boolean hasChanged) {
            if (hasChanged) {
                reachabilityChangeCount++;
            }
        }
    }
}
