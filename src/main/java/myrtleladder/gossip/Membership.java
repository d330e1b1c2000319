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

    private final Settings settings;
    private final List<String> seeds;
    private final Random random;
    private final Out out;
    private final Picture picture = new Picture();
    private final Rumours rumours = new Rumours();
    private final Health health = new Health();
    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final Map<Long, Relay> relays = new LinkedHashMap<>();

    /** Last questions before a verdict, by their numbers. */
    private final Map<Long, String> checks = new LinkedHashMap<>();

    private final Map<String, Long> planned = new HashMap<>();
    private final Map<String, Long> refused = new TreeMap<>();
    private final List<String> order = new ArrayList<>();
    private Claim me;
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
    public interface Out {
        /** Sends a datagram that may be late, lost, doubled or overtaken. */
        void send(String address, byte[] datagram);

        /** Asks for {@link Membership#due} after a delay by the steady clock. */
        void timer(String token, long delay);

        /** Something has changed in the picture. */
        void event(Event event);
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
    private record Rival(Claim claim, long number, long heardAt) {}

    /**
     * A process that is called {@code name} in this life, not started yet.
     *
     * @param life drawn anew at each start, by whoever has real randomness
     * @param incarnation to begin with; one more than the last if that is known, else 0
     * @param seeds addresses at which others may be found
     */
    public Membership(
            Settings settings,
            String name,
            long life,
            long incarnation,
            String address,
            Meta meta,
            List<String> seeds,
            long seed,
            Out out) {
        this.settings = settings;
        this.seeds = List.copyOf(seeds);
        this.random = new Random(seed);
        this.out = out;
        this.me = new Claim(name, life, incarnation, State.ALIVE, false, address, name, meta);
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
        timer(now, PERIOD, random.nextLong(settings.period()));
    }

    /** A datagram has come. */
    public void received(long now, String from, byte[] datagram) {
        if (datagram.length > settings.bytes()) {
            count("oversized");
            return;
        }
        Message m;
        try {
            m = Wire.read(datagram, settings.fleet());
        } catch (Wire.Refused e) {
            count(e.getMessage());
            return;
        }
        Claim sender = m.me();
        if (sender.name().equals(me.name()) && sender.life() != me.life()) {
            fromOwnName(now, from, m);
            return;
        }
        Claim held = picture.of(sender.name());
        apply(now, sender, true);
        if (held != null && held.life() != sender.life() && held.supersedes(sender)) {
            // An earlier life's, replayed or late; or it lives, and has to hear that it is out of
            // date.
            count("stale");
            if (m.kind() == Message.Kind.PING) {
                send(from, message(Message.Kind.ACK, m.number()), held);
            }
            return;
        }
        boolean tell = m.kind() != Message.Kind.CLAIMS || rumours.size() < ENOUGH_NEWS;
        m.news().forEach(c -> apply(now, c, tell));
        handle(now, from, m);
        compare(now, from, m);
    }

    /** A timer is due. */
    public void due(long now, String token) {
        Long at = planned.remove(token);
        if (at != null && now - at > settings.period() && at >= stalledAt) {
            stalled(now, now - at);
        }
        if (token.equals(PERIOD)) {
            period(now);
        } else if (token.startsWith(ACK)) {
            ackIsLate(Long.parseLong(token.substring(ACK.length())));
        } else if (token.startsWith(RELAY)) {
            Relay relay = relays.remove(Long.parseLong(token.substring(RELAY.length())));
            if (relay != null) {
                send(relay.back(), Message.Kind.NACK, relay.number(), null);
            }
        } else if (token.startsWith(SUSPECT)) {
            suspicionMayEnd(now, token.substring(SUSPECT.length()));
        }
    }

    /** The process is going to end: tells some of the others at once, and they tell the rest. */
    public void leave(long now) {
        leaving = true;
        say(now, me.with(State.LEFT, me.name()));
        someOthers(TOLD_OF_LEAVING).forEach(c -> send(c.address(), Message.Kind.NEWS, 0, c.name()));
    }

    // ---- What can be asked of it
    // -----------------------------------------------------------------------

    /** What is held of each member, gone ones for a while too. */
    public Collection<Claim> members() {
        return picture.all();
    }

    /** Since when the claim on a name that is held is held. */
    public long since(String name) {
        return picture.since(name);
    }

    /** How many are there, this process and suspects among them. */
    public int present() {
        return picture.present();
    }

    /** The claim of this process on itself. */
    public Claim self() {
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
        picture.forget(now, settings.tombstone());
        if (!leaving) {
            beginProbe(now);
            if (periods % CONTACT_EVERY == 0) {
                contactSomebody();
            }
            watchRival(now);
        }
        if (!rumours.isEmpty()) {
            someOthers(settings.fanout())
                    .forEach(c -> send(c.address(), Message.Kind.NEWS, 0, c.name()));
        }
        periods++;
        timer(now, PERIOD, health.stretch(settings.period()));
    }

    /**
     * Stood still: whoever was waited for had no chance, so nothing follows from that it was not
     * heard.
     */
    private void stalled(long now, long late) {
        stalledAt = now;
        probe = null;
        suspicions.values().forEach(s -> s.extend(late));
        health.worse(2);
        out.event(new Event(Event.Kind.STARVED, me, "a timer was " + late / 1_000 + " ms late"));
    }

    private void judge(long now) {
        Probe last = probe;
        probe = null;
        if (last == null) {
            return;
        }
        if (last.acked) {
            health.better();
            return;
        }
        // Those who were asked have not been heard either: it may be us.
        health.worse(last.asked > 0 && last.refusedBy == 0 ? 2 : 1);
        Claim held = picture.of(last.target);
        if (held != null && held.state() == State.ALIVE) {
            apply(now, held.with(State.SUSPECT, me.name()), true);
        } else if (held != null && held.state() == State.SUSPECT) {
            confirm(now, held.with(State.SUSPECT, me.name()));
        }
    }

    private void beginProbe(long now) {
        Claim target = nextInTurn();
        if (target != null) {
            probe = new Probe(target.name(), ++numbers);
            send(target.address(), Message.Kind.PING, probe.number, target.name());
            timer(now, ACK + probe.number, health.stretch(settings.ackAfter()));
        }
    }

    /**
     * Each of the others in turn, in an order drawn anew each time: the next probe is never far
     * (4.3).
     */
    private Claim nextInTurn() {
        for (int looked = 0; looked <= order.size() + 1; looked++) {
            if (turn >= order.size()) {
                turn = 0;
                order.clear();
                picture.all().stream()
                        .filter(c -> c.state().present() && !c.name().equals(me.name()))
                        .forEach(c -> order.add(c.name()));
                Collections.shuffle(order, random);
                if (order.isEmpty()) {
                    return null;
                }
            }
            Claim next = picture.of(order.get(turn++));
            if (next != null && next.state().present()) {
                return next;
            }
        }
        return null;
    }

    private List<Claim> someOthers(int count) {
        List<Claim> some = new ArrayList<>();
        for (int tries = 0; tries < 4 * count && some.size() < count && !order.isEmpty(); tries++) {
            Claim one = picture.of(order.get(random.nextInt(order.size())));
            if (one != null && one.state().present() && !some.contains(one)) {
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
        Claim target = picture.of(probe.target);
        if (target == null) {
            return;
        }
        send(target.address(), Message.Kind.PING, number, target.name());
        probe.asked = askOthers(number, target);
    }

    private int askOthers(long number, Claim target) {
        int asked = 0;
        for (Claim helper : someOthers(settings.indirect())) {
            if (!helper.name().equals(target.name())) {
                asked++;
                send(
                        helper.address(),
                        new Message(
                                settings.fleet(),
                                Message.Kind.ASK,
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

    private void handle(long now, String from, Message m) {
        switch (m.kind()) {
            case PING -> send(from, Message.Kind.ACK, m.number(), m.me().name());
            case ACK -> {
                Relay relay = relays.remove(m.number());
                String checked = checks.remove(m.number());
                Suspicion suspicion = checked == null ? null : suspicions.get(checked);
                if (suspicion != null) {
                    suspicion.beginAnew(now);
                    timer(now, SUSPECT + checked, suspicion.ends() - now);
                }
                if (relay != null) {
                    send(relay.back(), Message.Kind.ACK, relay.number(), null);
                } else if (probe != null && probe.number == m.number()) {
                    probe.acked = true;
                }
            }
            case NACK -> {
                if (probe != null && probe.number == m.number()) {
                    probe.refusedBy++;
                }
            }
            case ASK -> {
                Claim target = m.target() == null ? null : picture.of(m.target());
                if (target == null || relays.size() >= MOST_RELAYS) {
                    send(from, Message.Kind.NACK, m.number(), m.me().name());
                    return;
                }
                long number = ++numbers;
                relays.put(number, new Relay(from, m.number()));
                send(target.address(), Message.Kind.PING, number, target.name());
                timer(now, RELAY + number, settings.ackAfter());
            }
            case PARTS -> {
                long differing = picture.differing(m.digests());
                if (differing != 0) {
                    sendClaims(from, differing, differing);
                }
            }
            case CLAIMS -> {
                if (m.wanted() != 0) {
                    sendClaims(from, m.wanted(), 0);
                }
            }
            default -> {}
        }
    }

    // ---- Claims
    // ----------------------------------------------------------------------------------------

    private void apply(long now, Claim claim, boolean tell) {
        if (claim.name().equals(me.name())) {
            aboutMe(now, claim);
            return;
        }
        Claim held = picture.of(claim.name());
        if (held == null && picture.size() >= settings.members()) {
            count("full");
            return;
        }
        if (held != null && !claim.supersedes(held)) {
            if (held.state() == State.SUSPECT
                    && claim.state() == State.SUSPECT
                    && held.incarnation() == claim.incarnation()
                    && held.life() == claim.life()) {
                confirm(now, claim);
            }
            return;
        }
        picture.put(claim, now);
        changedAt = now;
        if (tell) {
            rumours.add(claim);
        }
        if (claim.state() == State.SUSPECT) {
            long least = (long) (settings.least() * settings.powers(present()) * settings.period());
            suspicions.put(
                    claim.name(),
                    new Suspicion(
                            claim,
                            now,
                            least,
                            (long) (least * settings.most()),
                            Math.min(settings.confirmations(), Math.max(0, present() - 2))));
            timer(now, SUSPECT + claim.name(), suspicions.get(claim.name()).ends() - now);
        } else {
            suspicions.remove(claim.name());
            checks.values().removeIf(claim.name()::equals);
        }
        tellOf(held, claim);
    }

    private void tellOf(Claim held, Claim claim) {
        if (claim.rival() && (held == null || !held.rival())) {
            out.event(
                    new Event(
                            Event.Kind.RIVAL, claim, "it says that another process has its name"));
        } else if (held != null && held.rival() && !claim.rival()) {
            out.event(new Event(Event.Kind.RIVAL_GONE, claim, "it says so"));
        }
        boolean was = held != null && held.state().present();
        if (claim.state() == State.SUSPECT) {
            out.event(new Event(Event.Kind.SUSPECTED, claim, "by " + claim.by()));
        } else if (claim.state() == State.DEAD && was) {
            out.event(new Event(Event.Kind.DIED, claim, "by " + claim.by()));
        } else if (claim.state() == State.LEFT && was) {
            out.event(new Event(Event.Kind.LEFT, claim, "it said so"));
        } else if (claim.state() == State.ALIVE && held != null && held.life() != claim.life()) {
            out.event(new Event(Event.Kind.RESTARTED, claim, "another life under its name"));
        } else if (claim.state() == State.ALIVE && held != null && held.state() != State.ALIVE) {
            out.event(new Event(Event.Kind.REFUTED, claim, "it contradicted " + held.by()));
        } else if (claim.state() == State.ALIVE && held == null) {
            out.event(new Event(Event.Kind.JOINED, claim, "it said so"));
        }
    }

    private void confirm(long now, Claim claim) {
        Suspicion suspicion = suspicions.get(claim.name());
        if (suspicion != null
                && suspicion.isOf(claim)
                && !claim.by().equals(picture.of(claim.name()).by())
                && suspicion.confirm(claim.by())) {
            rumours.add(claim);
            timer(now, SUSPECT + claim.name(), Math.max(0, suspicion.ends() - now));
        }
    }

    private void suspicionMayEnd(long now, String name) {
        Suspicion suspicion = suspicions.get(name);
        if (suspicion == null) {
            return;
        }
        if (suspicion.ends() > now) {
            timer(now, SUSPECT + name, suspicion.ends() - now);
            return;
        }
        if (!suspicion.checked()) {
            suspicion.check();
            checks.put(++numbers, name);
            Claim subject = picture.of(name);
            send(subject.address(), Message.Kind.PING, numbers, name);
            askOthers(numbers, subject);
            timer(now, SUSPECT + name, health.stretch(settings.period()));
            return;
        }
        apply(now, picture.of(name).with(State.DEAD, me.name()), true);
    }

    /**
     * Contradicts what is said of this life; what is said of another one under our name may be
     * true.
     */
    private void aboutMe(long now, Claim claim) {
        if (leaving) {
            return;
        }
        if (claim.life() == me.life()) {
            if (claim.state() != State.ALIVE && claim.incarnation() >= me.incarnation()) {
                health.worse(1);
                out.event(new Event(Event.Kind.CONTRADICTED, claim, claim.by() + " said so"));
                raise(now, claim.incarnation() + 1, me.rival());
            }
        } else if (claim.supersedes(me) && (!me.rival() || !claim.state().present())) {
            if (claim.state().present() && rival == null) {
                rival = new Rival(claim, ++numbers, Long.MIN_VALUE);
                send(claim.address(), Message.Kind.PING, rival.number(), null);
            }
            raise(now, claim.incarnation() + 1, me.rival());
        }
    }

    private void raise(long now, long incarnation, boolean hasRival) {
        say(
                now,
                new Claim(
                        me.name(),
                        me.life(),
                        incarnation,
                        State.ALIVE,
                        hasRival,
                        me.address(),
                        me.name(),
                        me.meta()));
    }

    private void say(long now, Claim claim) {
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
    private void fromOwnName(long now, String from, Message m) {
        aboutMe(now, m.me());
        if (m.kind() == Message.Kind.PING) {
            send(from, Message.Kind.ACK, m.number(), null);
        } else if (m.kind() == Message.Kind.ACK
                && rival != null
                && m.number() == rival.number()
                && m.me().life() == rival.claim().life()) {
            rival = new Rival(m.me(), rival.number(), now);
            if (!me.rival()) {
                out.event(new Event(Event.Kind.RIVAL, m.me(), "it answers under our name"));
                raise(now, Math.max(me.incarnation(), m.me().incarnation()) + 1, true);
            }
        }
    }

    private void watchRival(long now) {
        if (rival == null) {
            return;
        }
        long patience = RIVAL_PERIODS * settings.period();
        if (!me.rival() && periods % RIVAL_PERIODS == 0) {
            rival = null; // it has not answered: an earlier life of ours, of which somebody was
            // late to hear
        } else if (me.rival() && now - rival.heardAt() > patience) {
            out.event(
                    new Event(Event.Kind.RIVAL_GONE, rival.claim(), "it does not answer any more"));
            long above = Math.max(me.incarnation(), rival.claim().incarnation()) + 1;
            rival = null;
            raise(now, above, false);
        } else {
            rival = new Rival(rival.claim(), ++numbers, rival.heardAt());
            send(rival.claim().address(), Message.Kind.PING, rival.number(), null);
        }
    }

    // ---- Pictures
    // --------------------------------------------------------------------------------------

    private void compare(long now, String from, Message m) {
        if (m.digest() == picture.digest() || m.kind() == Message.Kind.CLAIMS) {
            return;
        }
        boolean settled =
                now - changedAt >= SETTLED * settings.period()
                        || present() == 1
                        || now - comparedAt >= SELDOM * settings.period();
        if (settled && (now - comparedAt >= 2 * settings.period() || present() == 1)) {
            comparedAt = now;
            send(
                    from,
                    new Message(
                            settings.fleet(),
                            Message.Kind.PARTS,
                            me,
                            0,
                            picture.digest(),
                            null,
                            picture.digests(),
                            0,
                            List.of()),
                    null);
        }
    }

    private void sendClaims(String to, long parts, long wanted) {
        List<Claim> claims = new ArrayList<>(picture.claims(parts));
        Collections.shuffle(claims, random);
        long still = wanted;
        int next = 0;
        for (int sent = 0; sent < MOST_DATAGRAMS && (next < claims.size() || sent == 0); sent++) {
            Message m =
                    new Message(
                            settings.fleet(),
                            Message.Kind.CLAIMS,
                            me,
                            0,
                            picture.digest(),
                            null,
                            List.of(),
                            still,
                            List.of());
            int left = settings.bytes() - Wire.write(m).length - NEWS_BYTES;
            List<Claim> some = new ArrayList<>();
            while (next < claims.size() && Wire.size(claims.get(next)) <= left) {
                left -= Wire.size(claims.get(next));
                some.add(claims.get(next++));
            }
            out.send(
                    to,
                    Wire.write(
                            new Message(
                                    m.fleet(),
                                    m.kind(),
                                    me,
                                    0,
                                    m.digest(),
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
        for (Claim c : picture.all()) {
            if (c.state().present()) {
                known.add(c.address());
            } else if (c.state() == State.DEAD) {
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
                        .filter(c -> c.address().equals(address) && c.state() == State.DEAD)
                        .map(Claim::name)
                        .findFirst()
                        .orElse(null);
        send(address, Message.Kind.PING, 0, name);
    }

    private Message message(Message.Kind kind, long number) {
        return new Message(
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
    private void send(String to, Message.Kind kind, long number, String name) {
        Claim about = name == null ? null : picture.of(name);
        send(
                to,
                message(kind, number),
                about == null || about.state() == State.ALIVE ? null : about);
    }

    /** Sends a message, filled up with news behind the first piece, if there is one. */
    private void send(String to, Message m, Claim first) {
        List<Claim> news = new ArrayList<>();
        int left = settings.bytes() - Wire.write(m).length - NEWS_BYTES;
        if (first != null && Wire.size(first) <= left) {
            news.add(first);
            left -= Wire.size(first);
        }
        news.addAll(
                rumours.take(
                        left, (int) Math.ceil(settings.spread() * settings.powers(present()))));
        out.send(
                to,
                Wire.write(
                        new Message(
                                m.fleet(),
                                m.kind(),
                                me,
                                m.number(),
                                m.digest(),
                                m.target(),
                                m.digests(),
                                m.wanted(),
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
