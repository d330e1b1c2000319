package myrtleladder.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * One process's part in the membership of its fleet: SWIM (Das, Gupta and Motivala, DSN 2002) with
 * the local health of Lifeguard (Dadgar, Phillips and Currey, 2017), and pictures compared by
 * digests beside the gossip. What it holds is the fast picture: good for hints, and never a
 * promise. All calls come from one thread; the maker of {@code out} brings about what it asks for.
 */
public final class Membership {
    private static final String PERIOD = "period";
    private static final String ACK = "ack:";
    private static final String RELAY = "relay:";
    private static final String SUSPECT = "suspect:";

    /** News waits so many periods to arrive by itself before pictures are compared. */
    private static final int SETTLED = 3;

    /** While pictures never settle, they are compared once in so many periods. */
    private static final int SELDOM = 15;

    /**
     * Whoever was heard of no more, and the seeds, are tried once in so many periods, one at a
     * time.
     */
    private static final int CONTACT_EVERY = 3;

    /** A rival that has not answered for so many periods is gone. */
    private static final int RIVAL_PERIODS = 10;

    private static final int MOST_RELAYS = 256;
    private static final int MOST_DATAGRAMS = 16;

    /**
     * Beyond so many pieces of news, what comes by the comparison of pictures is not news for
     * others.
     */
    private static final int ENOUGH_NEWS = 64;

    private static final int TOLD_OF_LEAVING = 8;

    /** What the field of the news itself takes in a message. */
    private static final int NEWS_BYTES = 12;

    private final GossipSettings settings;
    private final List<String> seeds;
    private final Random random;
    private final Output out;
    private final MemberTable picture = new MemberTable();
    private final DisseminationQueue rumours = new DisseminationQueue();
    private final LocalHealth health = new LocalHealth();
    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final Map<Long, Relay> relays = new LinkedHashMap<>();

    /** Last questions before a verdict, by their numbers. */
    private final Map<Long, String> checks = new LinkedHashMap<>();

    private final Map<String, Long> planned = new HashMap<>();
    private final Map<String, Long> refused = new TreeMap<>();
    private final List<String> order = new ArrayList<>();
    private MemberUpdate me;
    private Probe probe;
    private Rival rival;
    private long numbers;
    private long periods;
    private long changedAt;
    private long comparedAt;
    private long stalledAt = Long.MIN_VALUE;
    private int turn;
    private boolean leaving;

    /** Where the actions go. */
    public interface Output {
        /** Sends a datagram that may be late, lost, doubled or overtaken. */
        void send(String address, byte[] datagram);

        /** Asks for {@link Membership#due} after a delay by the steady clock. */
        void timer(String token, long delay);

        /** Something has changed in the picture. */
        void event(MemberEvent event);
    }

    private static final class Probe {
        final String target;
        final long number;
        boolean acked;
        int asked;
        int refusedBy;

        Probe(String target, long number) {
            this.target = target;
            this.number = number;
        }
    }

    private record Relay(String back, long number) {}

    /** Another life under our name; {@code heardAt} is when it last answered, if ever. */
    private record Rival(MemberUpdate claim, long number, long heardAt) {}

    /**
     * A process that is called {@code name} in this life, not started yet.
     *
     * @param life drawn anew at each start, by whoever has real randomness
     * @param incarnation to begin with; one more than the last if that is known, else 0
     * @param seeds addresses at which others may be found
     */
    public Membership(
            GossipSettings settings,
            String name,
            long startId,
            long incarnation,
            String address,
            MemberMetadata meta,
            List<String> seeds,
            long seed,
            Output out) {
        this.settings = settings;
        this.seeds = List.copyOf(seeds);
        this.random = new Random(seed);
        this.out = out;
        this.me =
                new MemberUpdate(
                        name, startId, incarnation, MemberState.ALIVE, false, address, name, meta);
        this.numbers =
                random.nextInt(
                        Integer.MAX_VALUE); // late answers to an earlier life fit none of ours
    }

    // ---- What happens to it
    // ----------------------------------------------------------------------------

    /** Begins: tries the seeds at once, and then until it is not alone. */
    public void started(long now) {
        changedAt = now;
        comparedAt = now;
        picture.put(me, now);
        seeds.forEach(this::contact);
        timer(now, PERIOD, random.nextLong(settings.protocolPeriodUs()));
    }

    /** A datagram has come. */
    public void received(long now, String from, byte[] datagram) {
        if (datagram.length > settings.maxDatagramBytes()) {
            count("oversized");
            return;
        }
        GossipDatagram m;
        try {
            m = GossipCodec.decode(datagram, settings.fleet());
        } catch (RejectedDatagramException e) {
            count(e.getMessage());
            return;
        }
        MemberUpdate sender = m.sender();
        if (sender.name().equals(me.name()) && sender.startId() != me.startId()) {
            fromOwnName(now, from, m);
            return;
        }
        MemberUpdate held = picture.get(sender.name());
        apply(now, sender, true);
        if (held != null && held.startId() != sender.startId() && held.supersedes(sender)) {
            // An earlier life's, replayed or late; or it lives, and has to hear that it is out of
            // date.
            count("stale");
            if (m.kind() == GossipDatagram.Kind.PING) {
                send(from, message(GossipDatagram.Kind.ACK, m.sequenceNumber()), held);
            }
            return;
        }
        boolean tell = m.kind() != GossipDatagram.Kind.UPDATES || rumours.size() < ENOUGH_NEWS;
        m.updates().forEach(c -> apply(now, c, tell));
        handle(now, from, m);
        compare(now, from, m);
    }

    /** A timer is due. */
    public void due(long now, String token) {
        Long at = planned.remove(token);
        if (at != null && now - at > settings.protocolPeriodUs() && at >= stalledAt) {
            stalled(now, now - at);
        }
        if (token.equals(PERIOD)) {
            period(now);
        } else if (token.startsWith(ACK)) {
            ackIsLate(Long.parseLong(token.substring(ACK.length())));
        } else if (token.startsWith(RELAY)) {
            Relay relay = relays.remove(Long.parseLong(token.substring(RELAY.length())));
            if (relay != null) {
                send(relay.back(), GossipDatagram.Kind.NACK, relay.number(), null);
            }
        } else if (token.startsWith(SUSPECT)) {
            suspicionMayEnd(now, token.substring(SUSPECT.length()));
        }
    }

    /** The process is going to end: tells some of the others at once, and they tell the rest. */
    public void leave(long now) {
        leaving = true;
        say(now, me.withState(MemberState.LEFT, me.name()));
        someOthers(TOLD_OF_LEAVING)
                .forEach(c -> send(c.address(), GossipDatagram.Kind.GOSSIP, 0, c.name()));
    }

    // ---- What can be asked of it
    // -----------------------------------------------------------------------

    /** What is held of each member, gone ones for a while too. */
    public Collection<MemberUpdate> members() {
        return picture.all();
    }

    /** Since when the claim on a name that is held is held. */
    public long since(String name) {
        return picture.sinceUs(name);
    }

    /** How many are there, this process and suspects among them. */
    public int present() {
        return picture.presentCount();
    }

    /** The claim of this process on itself. */
    public MemberUpdate self() {
        return me;
    }

    /** How well this process itself does, from 0 (well) to 8. */
    public int health() {
        return health.score();
    }

    /** How many datagrams were dropped, by reason. */
    public Map<String, Long> refused() {
        return Map.copyOf(refused);
    }

    /** What two processes agree on if their pictures are one. */
    public long digest() {
        return picture.digest();
    }

    // ---- Probes
    // ----------------------------------------------------------------------------------------

    private void period(long now) {
        judge(now);
        picture.removeExpired(now, settings.tombstoneTtlUs());
        if (!leaving) {
            beginProbe(now);
            if (periods % CONTACT_EVERY == 0) {
                contactSomebody();
            }
            watchRival(now);
        }
        if (!rumours.isEmpty()) {
            someOthers(settings.gossipFanout())
                    .forEach(c -> send(c.address(), GossipDatagram.Kind.GOSSIP, 0, c.name()));
        }
        periods++;
        timer(now, PERIOD, health.scaleUs(settings.protocolPeriodUs()));
    }

    /**
     * Stood still: whoever was waited for had no chance, so nothing follows from that it was not
     * heard.
     */
    private void stalled(long now, long late) {
        stalledAt = now;
        probe = null;
        suspicions.values().forEach(s -> s.extend(late));
        health.degrade(2);
        out.event(
                new MemberEvent(
                        MemberEvent.Kind.STARVED, me, "a timer was " + late / 1_000 + " ms late"));
    }

    private void judge(long now) {
        Probe last = probe;
        probe = null;
        if (last == null) {
            return;
        }
        if (last.acked) {
            health.improve();
            return;
        }
        // Those who were asked have not been heard either: it may be us.
        health.degrade(last.asked > 0 && last.refusedBy == 0 ? 2 : 1);
        MemberUpdate held = picture.get(last.target);
        if (held != null && held.state() == MemberState.ALIVE) {
            apply(now, held.withState(MemberState.SUSPECT, me.name()), true);
        } else if (held != null && held.state() == MemberState.SUSPECT) {
            confirm(now, held.withState(MemberState.SUSPECT, me.name()));
        }
    }

    private void beginProbe(long now) {
        MemberUpdate target = nextInTurn();
        if (target != null) {
            probe = new Probe(target.name(), ++numbers);
            send(target.address(), GossipDatagram.Kind.PING, probe.number, target.name());
            timer(now, ACK + probe.number, health.scaleUs(settings.ackTimeoutUs()));
        }
    }

    /**
     * Each of the others in turn, in an order drawn anew each time: the next probe is never far
     * (4.3).
     */
    private MemberUpdate nextInTurn() {
        for (int looked = 0; looked <= order.size() + 1; looked++) {
            if (turn >= order.size()) {
                turn = 0;
                order.clear();
                picture.all().stream()
                        .filter(c -> c.state().isPresent() && !c.name().equals(me.name()))
                        .forEach(c -> order.add(c.name()));
                Collections.shuffle(order, random);
                if (order.isEmpty()) {
                    return null;
                }
            }
            MemberUpdate next = picture.get(order.get(turn++));
            if (next != null && next.state().isPresent()) {
                return next;
            }
        }
        return null;
    }

    private List<MemberUpdate> someOthers(int count) {
        List<MemberUpdate> some = new ArrayList<>();
        for (int tries = 0; tries < 4 * count && some.size() < count && !order.isEmpty(); tries++) {
            MemberUpdate one = picture.get(order.get(random.nextInt(order.size())));
            if (one != null && one.state().isPresent() && !some.contains(one)) {
                some.add(one);
            }
        }
        return some;
    }

    /** No answer yet: once more, and by others, since the fault may lie on the way between us. */
    private void ackIsLate(long number) {
        if (probe == null || probe.number != number || probe.acked) {
            return;
        }
        MemberUpdate target = picture.get(probe.target);
        if (target == null) {
            return;
        }
        send(target.address(), GossipDatagram.Kind.PING, number, target.name());
        probe.asked = askOthers(number, target);
    }

    private int askOthers(long number, MemberUpdate target) {
        int asked = 0;
        for (MemberUpdate helper : someOthers(settings.indirectProbes())) {
            if (!helper.name().equals(target.name())) {
                asked++;
                send(
                        helper.address(),
                        new GossipDatagram(
                                settings.fleet(),
                                GossipDatagram.Kind.PING_REQUEST,
                                me,
                                number,
                                picture.digest(),
                                target.name(),
                                List.of(),
                                0,
                                List.of()),
                        null);
            }
        }
        return asked;
    }

    private void handle(long now, String from, GossipDatagram m) {
        switch (m.kind()) {
            case PING -> send(from, GossipDatagram.Kind.ACK, m.sequenceNumber(), m.sender().name());
            case ACK -> {
                Relay relay = relays.remove(m.sequenceNumber());
                String checked = checks.remove(m.sequenceNumber());
                Suspicion suspicion = checked == null ? null : suspicions.get(checked);
                if (suspicion != null) {
                    suspicion.restart(now);
                    timer(now, SUSPECT + checked, suspicion.deadlineUs() - now);
                }
                if (relay != null) {
                    send(relay.back(), GossipDatagram.Kind.ACK, relay.number(), null);
                } else if (probe != null && probe.number == m.sequenceNumber()) {
                    probe.acked = true;
                }
            }
            case NACK -> {
                if (probe != null && probe.number == m.sequenceNumber()) {
                    probe.refusedBy++;
                }
            }
            case PING_REQUEST -> {
                MemberUpdate target = m.probeTarget() == null ? null : picture.get(m.probeTarget());
                if (target == null || relays.size() >= MOST_RELAYS) {
                    send(from, GossipDatagram.Kind.NACK, m.sequenceNumber(), m.sender().name());
                    return;
                }
                long number = ++numbers;
                relays.put(number, new Relay(from, m.sequenceNumber()));
                send(target.address(), GossipDatagram.Kind.PING, number, target.name());
                timer(now, RELAY + number, settings.ackTimeoutUs());
            }
            case DIGESTS -> {
                long differing = picture.differingBuckets(m.bucketDigests());
                if (differing != 0) {
                    sendClaims(from, differing, differing);
                }
            }
            case UPDATES -> {
                if (m.requestedBuckets() != 0) {
                    sendClaims(from, m.requestedBuckets(), 0);
                }
            }
            default -> {}
        }
    }

    // ---- Claims
    // ----------------------------------------------------------------------------------------

    private void apply(long now, MemberUpdate claim, boolean tell) {
        if (claim.name().equals(me.name())) {
            aboutMe(now, claim);
            return;
        }
        MemberUpdate held = picture.get(claim.name());
        if (held == null && picture.size() >= settings.maxMembers()) {
            count("full");
            return;
        }
        if (held != null && !claim.supersedes(held)) {
            if (held.state() == MemberState.SUSPECT
                    && claim.state() == MemberState.SUSPECT
                    && held.incarnation() == claim.incarnation()
                    && held.startId() == claim.startId()) {
                confirm(now, claim);
            }
            return;
        }
        picture.put(claim, now);
        changedAt = now;
        if (tell) {
            rumours.add(claim);
        }
        if (claim.state() == MemberState.SUSPECT) {
            long least = settings.minSuspicionUs(present());
            suspicions.put(
                    claim.name(),
                    new Suspicion(
                            claim,
                            now,
                            least,
                            settings.maxSuspicionUs(least),
                            Math.min(
                                    settings.suspicionConfirmations(),
                                    Math.max(0, present() - 2))));
            timer(now, SUSPECT + claim.name(), suspicions.get(claim.name()).deadlineUs() - now);
        } else {
            suspicions.remove(claim.name());
            checks.values().removeIf(claim.name()::equals);
        }
        tellOf(held, claim);
    }

    private void tellOf(MemberUpdate held, MemberUpdate claim) {
        if (claim.hasNameConflict() && (held == null || !held.hasNameConflict())) {
            out.event(
                    new MemberEvent(
                            MemberEvent.Kind.RIVAL,
                            claim,
                            "it says that another process has its name"));
        } else if (held != null && held.hasNameConflict() && !claim.hasNameConflict()) {
            out.event(new MemberEvent(MemberEvent.Kind.RIVAL_GONE, claim, "it says so"));
        }
        boolean was = held != null && held.state().isPresent();
        if (claim.state() == MemberState.SUSPECT) {
            out.event(
                    new MemberEvent(MemberEvent.Kind.SUSPECTED, claim, "by " + claim.reportedBy()));
        } else if (claim.state() == MemberState.DEAD && was) {
            out.event(new MemberEvent(MemberEvent.Kind.DIED, claim, "by " + claim.reportedBy()));
        } else if (claim.state() == MemberState.LEFT && was) {
            out.event(new MemberEvent(MemberEvent.Kind.LEFT, claim, "it said so"));
        } else if (claim.state() == MemberState.ALIVE
                && held != null
                && held.startId() != claim.startId()) {
            out.event(
                    new MemberEvent(
                            MemberEvent.Kind.RESTARTED, claim, "another life under its name"));
        } else if (claim.state() == MemberState.ALIVE
                && held != null
                && held.state() != MemberState.ALIVE) {
            out.event(
                    new MemberEvent(
                            MemberEvent.Kind.REFUTED,
                            claim,
                            "it contradicted " + held.reportedBy()));
        } else if (claim.state() == MemberState.ALIVE && held == null) {
            out.event(new MemberEvent(MemberEvent.Kind.JOINED, claim, "it said so"));
        }
    }

    private void confirm(long now, MemberUpdate claim) {
        Suspicion suspicion = suspicions.get(claim.name());
        if (suspicion != null
                && suspicion.isAbout(claim)
                && !claim.reportedBy().equals(picture.get(claim.name()).reportedBy())
                && suspicion.confirm(claim.reportedBy())) {
            rumours.add(claim);
            timer(now, SUSPECT + claim.name(), Math.max(0, suspicion.deadlineUs() - now));
        }
    }

    private void suspicionMayEnd(long now, String name) {
        Suspicion suspicion = suspicions.get(name);
        if (suspicion == null) {
            return;
        }
        if (suspicion.deadlineUs() > now) {
            timer(now, SUSPECT + name, suspicion.deadlineUs() - now);
            return;
        }
        if (!suspicion.isFinalProbeSent()) {
            suspicion.finalProbeSent();
            checks.put(++numbers, name);
            MemberUpdate subject = picture.get(name);
            send(subject.address(), GossipDatagram.Kind.PING, numbers, name);
            askOthers(numbers, subject);
            timer(now, SUSPECT + name, health.scaleUs(settings.protocolPeriodUs()));
            return;
        }
        apply(now, picture.get(name).withState(MemberState.DEAD, me.name()), true);
    }

    /**
     * Contradicts what is said of this life; what is said of another one under our name may be
     * true.
     */
    private void aboutMe(long now, MemberUpdate claim) {
        if (leaving) {
            return;
        }
        if (claim.startId() == me.startId()) {
            if (claim.state() != MemberState.ALIVE && claim.incarnation() >= me.incarnation()) {
                health.degrade(1);
                out.event(
                        new MemberEvent(
                                MemberEvent.Kind.CONTRADICTED,
                                claim,
                                claim.reportedBy() + " said so"));
                raise(now, claim.incarnation() + 1, me.hasNameConflict());
            }
        } else if (claim.supersedes(me) && (!me.hasNameConflict() || !claim.state().isPresent())) {
            if (claim.state().isPresent() && rival == null) {
                rival = new Rival(claim, ++numbers, Long.MIN_VALUE);
                send(claim.address(), GossipDatagram.Kind.PING, rival.number(), null);
            }
            raise(now, claim.incarnation() + 1, me.hasNameConflict());
        }
    }

    private void raise(long now, long incarnation, boolean hasRival) {
        say(
                now,
                new MemberUpdate(
                        me.name(),
                        me.startId(),
                        incarnation,
                        MemberState.ALIVE,
                        hasRival,
                        me.address(),
                        me.name(),
                        me.metadata()));
    }

    private void say(long now, MemberUpdate claim) {
        me = claim;
        picture.put(me, now);
        changedAt = now;
        rumours.add(me);
    }

    // ---- Two processes with one name
    // -------------------------------------------------------------------

    /**
     * Somebody under our name speaks to us. That proves that he lives only if it answers what we
     * asked.
     */
    private void fromOwnName(long now, String from, GossipDatagram m) {
        aboutMe(now, m.sender());
        if (m.kind() == GossipDatagram.Kind.PING) {
            send(from, GossipDatagram.Kind.ACK, m.sequenceNumber(), null);
        } else if (m.kind() == GossipDatagram.Kind.ACK
                && rival != null
                && m.sequenceNumber() == rival.number()
                && m.sender().startId() == rival.claim().startId()) {
            rival = new Rival(m.sender(), rival.number(), now);
            if (!me.hasNameConflict()) {
                out.event(
                        new MemberEvent(
                                MemberEvent.Kind.RIVAL, m.sender(), "it answers under our name"));
                raise(now, Math.max(me.incarnation(), m.sender().incarnation()) + 1, true);
            }
        }
    }

    private void watchRival(long now) {
        if (rival == null) {
            return;
        }
        long patience = RIVAL_PERIODS * settings.protocolPeriodUs();
        if (!me.hasNameConflict() && periods % RIVAL_PERIODS == 0) {
            rival = null; // it has not answered: an earlier life of ours, of which somebody was
            // late to hear
        } else if (me.hasNameConflict() && now - rival.heardAt() > patience) {
            out.event(
                    new MemberEvent(
                            MemberEvent.Kind.RIVAL_GONE,
                            rival.claim(),
                            "it does not answer any more"));
            long above = Math.max(me.incarnation(), rival.claim().incarnation()) + 1;
            rival = null;
            raise(now, above, false);
        } else {
            rival = new Rival(rival.claim(), ++numbers, rival.heardAt());
            send(rival.claim().address(), GossipDatagram.Kind.PING, rival.number(), null);
        }
    }

    // ---- Pictures
    // --------------------------------------------------------------------------------------

    private void compare(long now, String from, GossipDatagram m) {
        if (m.tableDigest() == picture.digest() || m.kind() == GossipDatagram.Kind.UPDATES) {
            return;
        }
        boolean settled =
                now - changedAt >= SETTLED * settings.protocolPeriodUs()
                        || present() == 1
                        || now - comparedAt >= SELDOM * settings.protocolPeriodUs();
        if (settled && (now - comparedAt >= 2 * settings.protocolPeriodUs() || present() == 1)) {
            comparedAt = now;
            send(
                    from,
                    new GossipDatagram(
                            settings.fleet(),
                            GossipDatagram.Kind.DIGESTS,
                            me,
                            0,
                            picture.digest(),
                            null,
                            picture.bucketDigests(),
                            0,
                            List.of()),
                    null);
        }
    }

    private void sendClaims(String to, long parts, long wanted) {
        List<MemberUpdate> claims = new ArrayList<>(picture.updatesIn(parts));
        Collections.shuffle(claims, random);
        long still = wanted;
        int next = 0;
        for (int sent = 0; sent < MOST_DATAGRAMS && (next < claims.size() || sent == 0); sent++) {
            GossipDatagram m =
                    new GossipDatagram(
                            settings.fleet(),
                            GossipDatagram.Kind.UPDATES,
                            me,
                            0,
                            picture.digest(),
                            null,
                            List.of(),
                            still,
                            List.of());
            int left = settings.maxDatagramBytes() - GossipCodec.encode(m).length - NEWS_BYTES;
            List<MemberUpdate> some = new ArrayList<>();
            while (next < claims.size() && GossipCodec.encodedSize(claims.get(next)) <= left) {
                left -= GossipCodec.encodedSize(claims.get(next));
                some.add(claims.get(next++));
            }
            out.send(
                    to,
                    GossipCodec.encode(
                            new GossipDatagram(
                                    m.fleet(),
                                    m.kind(),
                                    me,
                                    0,
                                    m.tableDigest(),
                                    null,
                                    List.of(),
                                    still,
                                    some)));
            still = 0;
        }
    }

    // ---- Sending
    // ---------------------------------------------------------------------------------------

    private void contactSomebody() {
        List<String> lost = new ArrayList<>();
        List<String> known = new ArrayList<>();
        for (MemberUpdate c : picture.all()) {
            if (c.state().isPresent()) {
                known.add(c.address());
            } else if (c.state() == MemberState.DEAD) {
                lost.add(c.address());
            }
        }
        seeds.stream().filter(s -> !known.contains(s)).forEach(lost::add);
        if (!lost.isEmpty()) {
            contact(lost.get(random.nextInt(lost.size())));
        }
    }

    private void contact(String address) {
        if (address.equals(me.address())) {
            return;
        }
        String name =
                picture.all().stream()
                        .filter(c -> c.address().equals(address) && c.state() == MemberState.DEAD)
                        .map(MemberUpdate::name)
                        .findFirst()
                        .orElse(null);
        send(address, GossipDatagram.Kind.PING, 0, name);
    }

    private GossipDatagram message(GossipDatagram.Kind kind, long number) {
        return new GossipDatagram(
                settings.fleet(),
                kind,
                me,
                number,
                picture.digest(),
                null,
                List.of(),
                0,
                List.of());
    }

    /** What is held against a member goes first in what it is sent, so that it may answer. */
    private void send(String to, GossipDatagram.Kind kind, long number, String name) {
        MemberUpdate about = name == null ? null : picture.get(name);
        send(
                to,
                message(kind, number),
                about == null || about.state() == MemberState.ALIVE ? null : about);
    }

    /** Sends a message, filled up with news behind the first piece, if there is one. */
    private void send(String to, GossipDatagram m, MemberUpdate first) {
        List<MemberUpdate> news = new ArrayList<>();
        int left = settings.maxDatagramBytes() - GossipCodec.encode(m).length - NEWS_BYTES;
        if (first != null && GossipCodec.encodedSize(first) <= left) {
            news.add(first);
            left -= GossipCodec.encodedSize(first);
        }
        news.addAll(rumours.take(left, settings.retransmits(present())));
        out.send(
                to,
                GossipCodec.encode(
                        new GossipDatagram(
                                m.fleet(),
                                m.kind(),
                                me,
                                m.sequenceNumber(),
                                m.tableDigest(),
                                m.probeTarget(),
                                m.bucketDigests(),
                                m.requestedBuckets(),
                                news)));
    }

    private void timer(long now, String token, long delay) {
        planned.put(token, now + delay);
        out.timer(token, delay);
    }

    private void count(String reason) {
        refused.merge(reason, 1L, Long::sum);
    }
}
