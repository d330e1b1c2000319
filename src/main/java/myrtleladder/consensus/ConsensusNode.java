package myrtleladder.consensus;

import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One life's part in what its fleet agrees on. The log is Raft's (Ongaro and Ousterhout, 2014) with
 * lives for servers: nothing survives a process, so a restarted one is another server, which a view
 * has to take in. Where so many have ended that no majority of the council can be had from those
 * that were taken in, lives that never had a vote found the log anew, see {@link Election}. All
 * calls come from one thread; the maker of {@code out} brings about what it asks for.
 */
public final class ConsensusNode {
    private static final String BEAT = "beat";

    /**
     * What proposers had taken in last is kept for so many lives, those that are gone among them.
     */
    private static final int TAKEN = 1_024;

    /** Changes of members that a leader is told of, and that go into one view. */
    private static final int CHANGES = 8;

    /**
     * What a message has beside its entries, or beside a part of a snapshot, takes no more than
     * this.
     */
    private static final int HEAD = 420;

    private final ConsensusSettings settings;
    private final Life me;
    private final Random random;
    private final StateMachine machine;
    private final Out out;
    private final ReplicatedLog log = new ReplicatedLog();
    private final Map<String, Seen> seen = new TreeMap<>();
    private final Map<Life, Peer> peers = new LinkedHashMap<>();
    private final Map<Life, Long> taken = new LinkedHashMap<>();
    private final Deque<byte[]> commands = new ArrayDeque<>();
    private final Map<String, Long> refused = new TreeMap<>();
    private final Election election = new Election();
    private Term term = Term.NONE;
    private Life votedFor;
    private Life leader;
    private View view = View.NONE;
    private long commit;
    private long applied;

    /**
     * Up to where this life has acknowledged entries of the term's leader: none of it may be taken
     * back.
     */
    private long acknowledged;

    private long startedAt;
    private long contactAt;
    private long electAt;
    private long commandNumber = 1;
    private boolean heardOfNone;
    private Snapshot made;
    private Partial partial;

    /** Where the actions go. */
    public interface Out {
        /**
         * Sends a datagram that may be late, lost, doubled or overtaken.
         *
         * @throws UncheckedIOException if that can't even be tried; it counts as lost
         */
        void send(String name, byte[] datagram);

        /** Asks for {@link ConsensusNode#due} after a delay by the steady clock. */
        void timer(String token, long delay);

        /** Microseconds that the wall clock shows; it may jump. */
        long wall();

        /** Something has changed. */
        void note(ConsensusEvent note);

        /** A point of fault is passed; only tests do anything here. */
        default void point(FaultPoint point) {}
    }

    /**
     * What the fast picture has of a name: the life that is there, 0 for nobody, and since when.
     */
    private record Seen(long life, long since) {}

    /** A snapshot as it is sent. */
    private record Snapshot(long index, Term at, byte[] bytes) {}

    /** A snapshot as it comes in. */
    private record Partial(Term term, long index, java.io.ByteArrayOutputStream bytes) {}

    /** What a leader knows of another life. */
    private static final class Peer {
        long next;
        long match;

        /** Half of the least, so that the time since then is a number. */
        long heardAt = Long.MIN_VALUE / 2;

        long offset = -1;
        long viewNumber = -1;
        Map<String, Long> cut = Map.of();

        Peer(long next) {
            this.next = next;
        }
    }

    /** A life that was not started yet; {@code life} in {@code me} is drawn anew for each. */
    public ConsensusNode(
            ConsensusSettings settings, Life me, long seed, StateMachine machine, Out out) {
        this.settings = settings;
        this.me = me;
        this.random = new Random(seed);
        this.machine = machine;
        this.out = out;
    }

    // ---- What happens to it
    // ----------------------------------------------------------------------------

    /** Begins. */
    public void started(long now) {
        startedAt = now;
        contactAt = now - 2 * settings.patience();
        electAt = now + settings.settling() + random.nextLong(settings.patience());
        out.timer(BEAT, random.nextLong(settings.beat()));
    }

    /** Who is there by the fast picture, this process too: lives by name. */
    public void present(long now, Map<String, Long> lives) {
        TreeSet<String> names = new TreeSet<>(lives.keySet());
        names.addAll(seen.keySet());
        for (String name : names) {
            long life = lives.getOrDefault(name, 0L);
            Seen held = seen.get(name);
            if (held == null || held.life() != life) {
                seen.put(name, new Seen(life, now));
            }
        }
    }

    /** A timer is due. */
    public void due(long now, String token) {
        if (!token.equals(BEAT)) {
            return;
        }
        if (leads()) {
            if (!hasQuorum(now)) {
                follow(
                        now,
                        term,
                        null,
                        "no majority was heard for " + settings.patience() / 1_000 + " ms");
            } else {
                proposeView(now);
                sendToAll(now);
            }
        } else {
            election.tick(now);
        }
        pushCommand(now);
        boolean none = !decides(now);
        if (none != heardOfNone) {
            heardOfNone = none;
            out.note(
                    new ConsensusEvent(
                            none ? ConsensusEvent.Kind.CUT_OFF : ConsensusEvent.Kind.JOINED,
                            view,
                            "term " + term));
        }
        out.timer(BEAT, settings.beat());
    }

    /** A datagram has come. */
    public void received(long now, byte[] datagram) {
        if (datagram.length > settings.bytes()) {
            count("oversized");
            return;
        }
        Message m;
        try {
            m = MessageCodec.read(datagram, settings.fleet());
        } catch (MessageCodec.Refused e) {
            count(e.getMessage());
            return;
        }
        if (m.to() != null && !m.to().equals(me) || m.from().equals(me)) {
            count("other life");
            return;
        }
        switch (m.kind()) {
            case ASK -> election.asked(now, m);
            case SAY -> election.said(now, m);
            case VOTE_ASK -> election.voteAsked(now, m);
            case VOTE -> election.voted(now, m);
            case APPEND -> entries(now, m);
            case APPENDED -> acknowledged(now, m);
            case SNAPSHOT -> snapshot(now, m);
            case HEARD -> heard(now, m);
            case COMMAND -> {
                out.point(FaultPoint.COMMAND_TAKEN);
                if (leads()) {
                    take(now, m.from(), m.number(), m.bytes());
                }
            }
            default -> throw new IllegalStateException("no message: " + m.kind());
        }
    }

    /** Has a command decided, once and in the order of these calls, as long as this life lasts. */
    public void propose(long now, byte[] command) {
        if (command.length > settings.longestCommand()) {
            throw new IllegalArgumentException(
                    "a command of "
                            + command.length
                            + " bytes is over the "
                            + settings.longestCommand()
                            + " that fit");
        }
        commands.add(command.clone());
        if (commands.size() == 1) {
            out.point(FaultPoint.COMMAND_NOTED);
            pushCommand(now);
        }
    }

    /**
     * Whether a datagram is meant for an agreement, and not for another part that hears the same
     * address.
     */
    public static boolean isOurs(byte[] datagram) {
        return MessageCodec.isOurs(datagram);
    }

    // ---- What can be asked of it
    // -----------------------------------------------------------------------

    /** The view that was decided last, as far as is known here. */
    public View view() {
        return view;
    }

    /** Whether this life is the leader, as far as it knows. */
    public boolean leads() {
        return me.equals(leader);
    }

    /** Who leads; null if that is not known. */
    public Life leader() {
        return leader;
    }

    /** The term that this life is in. */
    public Term term() {
        return term;
    }

    /** How many decrees are applied here. */
    public long applied() {
        return applied;
    }

    /** Commands of this life that are not known to be decided. */
    public int waiting() {
        return commands.size();
    }

    /** Whether a majority of the council stands behind what is heard here, as of a moment ago. */
    public boolean decides(long now) {
        return leads()
                ? hasQuorum(now)
                : leader != null && now - contactAt < 2 * settings.patience();
    }

    /** How many datagrams were dropped, by reason. */
    public Map<String, Long> refused() {
        return Map.copyOf(refused);
    }

    // ---- Leading
    // ---------------------------------------------------------------------------------------

    private boolean councillor(String name) {
        return settings.council().contains(name);
    }

    /** Whether it has a vote: it is on the council, and its log has taken in this very life. */
    private boolean voter() {
        return councillor(me.name()) && log.view().has(me);
    }

    private boolean ripe(long now) {
        return voter() || now - startedAt >= settings.settling();
    }

    /**
     * Councillors taken in that answered lately; an answer counts from when its question was sent.
     */
    private boolean hasQuorum(long now) {
        long heard = voter() ? 1 : 0;
        for (Map.Entry<Life, Peer> p : peers.entrySet()) {
            boolean counts = councillor(p.getKey().name()) && log.view().has(p.getKey());
            heard += counts && now - p.getValue().heardAt < settings.patience() ? 1 : 0;
        }
        return heard >= settings.quorum();
    }

    /** Leads from now on; those who voted were heard when they were asked, and nobody else was. */
    private void lead(long now, boolean founding, Map<String, Life> votes, long askedAt) {
        leader = me;
        contactAt = now;
        peers.clear();
        out.point(FaultPoint.ELECTED);
        lives().forEach(l -> peers.put(l, new Peer(log.last() + 1)));
        votes.values().stream()
                .map(peers::get)
                .filter(Objects::nonNull)
                .forEach(p -> p.heardAt = askedAt);
        out.note(new ConsensusEvent(ConsensusEvent.Kind.LEADS, view, "term " + term));
        if (founding) {
            Map<String, Long> founders = new TreeMap<>();
            votes.values().forEach(l -> founders.put(l.name(), l.life()));
            write(now, LogEntry.Kind.FOUND, founders, null, log.view().number() + 1, null);
        } else {
            write(now, LogEntry.Kind.LEADS, Map.of(), null, 0, null);
        }
    }

    private void write(
            long now,
            LogEntry.Kind kind,
            Map<String, Long> change,
            Life by,
            long number,
            byte[] command) {
        log.add(new LogEntry(log.last() + 1, term, kind, change, null, by, number, command));
        acknowledged = log.last();
        out.point(FaultPoint.ENTRY_WRITTEN);
        decide(now);
        sendToAll(now);
    }

    /** All that a leader sends to: those taken in, and those that are there and may be. */
    private List<Life> lives() {
        List<Life> lives = new ArrayList<>();
        log.view().lives().forEach((name, life) -> lives.add(new Life(name, life)));
        seen.forEach(
                (name, s) -> {
                    Life life = new Life(name, s.life());
                    if (s.life() != 0 && !lives.contains(life)) {
                        lives.add(life);
                    }
                });
        lives.remove(me);
        return lives;
    }

    private void sendToAll(long now) {
        List<Life> lives = lives();
        peers.keySet().retainAll(lives);
        for (Life life : lives) {
            sendTo(now, life, peers.computeIfAbsent(life, l -> new Peer(log.last() + 1)));
        }
    }

    private void sendTo(long now, Life life, Peer peer) {
        Term at = peer.next < 1 ? null : log.termAt(peer.next - 1);
        if (at == null || peer.offset >= 0) {
            sendSnapshot(now, life, peer);
            return;
        }
        List<LogEntry> some = new ArrayList<>();
        int left = settings.bytes() - HEAD;
        for (long i = peer.next; i <= log.last(); i++) {
            left -= MessageCodec.size(log.get(i));
            if (left < 0 && !some.isEmpty()) {
                break;
            }
            some.add(log.get(i));
        }
        out.point(FaultPoint.ENTRIES_SENDING);
        send(life, message(Message.Kind.APPEND, null, peer.next - 1, at, now).with(some, commit));
    }

    private void sendSnapshot(long now, Life life, Peer peer) {
        boolean between = peers.values().stream().allMatch(p -> p.offset <= 0);
        if (made == null || made.index() < log.base() || made.index() < applied && between) {
            made =
                    new Snapshot(
                            applied,
                            log.termAt(applied),
                            MessageCodec.write(
                                    new MessageCodec.Snapshot(view, taken, machine.snapshot())));
            out.point(FaultPoint.SNAPSHOT_MADE);
            peers.values().forEach(p -> p.offset = p.offset < 0 ? -1 : 0);
        }
        peer.offset = Math.max(0, Math.min(peer.offset, made.bytes().length));
        int from = (int) peer.offset;
        // Three bytes take four characters.
        int to = Math.min(made.bytes().length, from + (settings.bytes() - HEAD) * 3 / 4);
        out.point(FaultPoint.SNAPSHOT_SENDING);
        send(
                life,
                message(Message.Kind.SNAPSHOT, null, made.index(), made.at(), now)
                        .with(
                                java.util.Arrays.copyOfRange(made.bytes(), from, to),
                                from,
                                made.bytes().length));
    }

    /** What a life answered to entries. */
    private void acknowledged(long now, Message m) {
        out.point(FaultPoint.ACKNOWLEDGEMENT_COUNTED);
        Peer peer = answerer(now, m);
        if (peer == null) {
            return;
        }
        peer.viewNumber = m.total();
        peer.cut = m.cut();
        if (m.yes()) {
            peer.offset = -1;
            peer.match = Math.max(peer.match, Math.min(m.index(), log.last()));
            peer.next = peer.match + 1;
            decide(now);
            if (leads() && peer.next <= log.last()) {
                sendTo(now, m.from(), peer);
            }
        } else if (peer.match == 0 || m.index() < 0) {
            goBack(now, m.from(), peer, m.index());
        }
    }

    /**
     * Looks for the last place at which the logs are one, after a life did not hold the one asked
     * for. What it has beyond this log, or has decided otherwise, comes from before a founding: a
     * snapshot replaces it.
     */
    private void goBack(long now, Life life, Peer peer, long hint) {
        long before = peer.next;
        if (hint < 0 || hint > log.last()) {
            if (peer.offset >= 0) {
                return; // a snapshot is on its way, a part with each beat or answer
            }
            peer.offset = 0;
        } else {
            peer.next = hint >= before ? hint + 1 : Math.max(1, Math.min(before - 1, hint + 1));
        }
        if (peer.next != before || peer.offset == 0) {
            sendTo(now, life, peer);
        }
    }

    /** What a life has of a snapshot. */
    private void heard(long now, Message m) {
        out.point(FaultPoint.ACKNOWLEDGEMENT_COUNTED);
        Peer peer = answerer(now, m);
        if (peer != null && made != null && m.index() == made.index() && peer.offset >= 0) {
            peer.offset = m.offset();
            sendTo(now, m.from(), peer);
        }
    }

    /** The peer that answers this life as leader of the term; a greater term ends its lead. */
    private Peer answerer(long now, Message m) {
        if (m.term().compareTo(term) > 0) {
            follow(now, m.term(), null, m.from() + " is in term " + m.term());
            return null;
        }
        Peer peer = leads() && m.term().equals(term) ? peers.get(m.from()) : null;
        if (peer != null) {
            peer.heardAt = Math.max(peer.heardAt, Math.min(now, m.number()));
        }
        return peer;
    }

    /**
     * An entry of this term is decided when a majority of the council, as the log has it now, holds
     * it.
     */
    private void decide(long now) {
        View members = log.view();
        List<Long> held = new ArrayList<>();
        if (voter()) {
            held.add(log.last());
        }
        peers.forEach(
                (life, peer) -> {
                    if (councillor(life.name()) && members.has(life)) {
                        held.add(peer.match);
                    }
                });
        if (held.size() < settings.quorum()) {
            return;
        }
        held.sort(java.util.Comparator.reverseOrder());
        long by = held.get(settings.quorum() - 1);
        if (by > commit && term.equals(log.termAt(by))) {
            commit = by;
            applyAll(now);
        }
    }

    // ---- Views
    // -----------------------------------------------------------------------------------------

    /** What this life has seen to differ from its log's view in the same way for long. */
    private Map<String, Long> cut(long now) {
        Map<String, Long> cut = new TreeMap<>();
        View members = log.view();
        seen.forEach(
                (name, s) -> {
                    long held = members.lives().getOrDefault(name, 0L);
                    if (s.life() != held
                            && now - s.since() >= settings.stable()
                            && cut.size() < CHANGES) {
                        cut.put(name, s.life());
                    }
                });
        return cut;
    }

    /**
     * Proposes what a majority of the council has seen in the same way for long (Rapid, section
     * 4.2: a view changes by a cut that is stable, and all that is known to change at once). Lives
     * on the council go and come in separate views, since two majorities of one view and the next
     * have to meet; and none goes that a majority needs.
     */
    private void proposeView(long now) {
        View members = log.view();
        if (!log.lastTerm().equals(term) || log.changes(commit) || commit < log.last()) {
            return;
        }
        Map<String, Long> goes = new TreeMap<>();
        Map<String, Long> comes = new TreeMap<>();
        long voters = members.lives().keySet().stream().filter(this::councillor).count();
        for (Map.Entry<String, Long> c : cut(now).entrySet()) {
            long others =
                    peers.entrySet().stream()
                            .filter(
                                    p ->
                                            councillor(p.getKey().name())
                                                    && members.has(p.getKey())
                                                    && p.getValue().viewNumber == members.number()
                                                    && c.getValue()
                                                            .equals(
                                                                    p.getValue()
                                                                            .cut
                                                                            .get(c.getKey())))
                            .count();
            boolean council = councillor(c.getKey());
            if (others + 1 < settings.quorum() || c.getKey().equals(me.name())) {
                continue;
            }
            if (members.lives().containsKey(c.getKey()) && (council || c.getValue() == 0)) {
                if (!council || --voters >= settings.quorum()) {
                    goes.put(c.getKey(), 0L);
                }
            } else if (caughtUp(new Life(c.getKey(), c.getValue()))) {
                comes.put(c.getKey(), c.getValue());
            }
        }
        Map<String, Long> change = goes.isEmpty() ? comes : goes;
        if (!change.isEmpty()) {
            out.point(FaultPoint.VIEW_PROPOSING);
            write(now, LogEntry.Kind.VIEW, change, null, members.number() + 1, null);
        }
    }

    private boolean caughtUp(Life life) {
        Peer peer = peers.get(life);
        return peer != null && peer.match >= commit;
    }

    // ---- Following
    // -------------------------------------------------------------------------------------

    private void follow(long now, Term its, Life whom, String why) {
        if (leads()) {
            out.note(new ConsensusEvent(ConsensusEvent.Kind.LEADS_NO_MORE, view, why));
        }
        if (its.compareTo(term) > 0) {
            term = its;
            votedFor = null;
            acknowledged = 0;
        }
        leader = whom;
        peers.clear();
        made = null;
        election.end();
        electAt = now + settings.patience() + random.nextLong(settings.patience());
    }

    /**
     * Whether a message is of the term's leader, or of a later one's, whom this life then follows.
     */
    private boolean ofLeader(long now, Message m) {
        if (m.term().compareTo(term) < 0) {
            send(
                    m.from(),
                    message(Message.Kind.APPENDED, m.from(), applied, Term.NONE, m.number()));
            return false;
        }
        if (m.term().compareTo(term) > 0 || !m.from().equals(leader)) {
            follow(now, m.term(), m.from(), m.from() + " leads term " + m.term());
        }
        contactAt = now;
        electAt = now + settings.patience() + random.nextLong(settings.patience());
        return true;
    }

    private void entries(long now, Message m) {
        out.point(FaultPoint.ENTRIES_TAKEN);
        for (int i = 0; i < m.entries().size(); i++) {
            if (m.entries().get(i).index() != m.index() + 1 + i) {
                count("malformed");
                return;
            }
        }
        if (!ofLeader(now, m)) {
            return;
        }
        Term here = log.termAt(m.index());
        if (m.index() > log.last() || m.index() < log.base()) {
            acknowledge(now, m, false, m.index() > log.last() ? log.last() : log.base());
            return;
        }
        if (!m.at().equals(here)) {
            // What is decided here is not there: a founding did not know of it.
            acknowledge(now, m, false, m.index() <= commit ? -1 : m.index() - 1);
            return;
        }
        for (LogEntry e : m.entries()) {
            Term held = log.termAt(e.index());
            if (e.index() > log.base() && !e.term().equals(held)) {
                if (e.index() <= commit) {
                    acknowledge(now, m, false, -1);
                    return;
                }
                if (held != null) {
                    log.cutFrom(e.index());
                }
                log.add(e);
            }
        }
        long match = m.index() + m.entries().size();
        acknowledged = Math.max(acknowledged, match);
        out.point(FaultPoint.ENTRIES_KEPT);
        acknowledge(now, m, true, match);
        out.point(FaultPoint.ENTRIES_ACKNOWLEDGED);
        if (Math.min(m.offset(), match) > commit) {
            commit = Math.min(m.offset(), match);
            applyAll(now);
        }
    }

    private void acknowledge(long now, Message m, boolean yes, long index) {
        Message answer =
                message(Message.Kind.APPENDED, m.from(), index, Term.NONE, m.number())
                        .says(yes, voter(), ripe(now))
                        .with(new byte[0], 0, log.view().number());
        send(m.from(), councillor(me.name()) ? answer.with(cut(now)) : answer);
    }

    private void snapshot(long now, Message m) {
        out.point(FaultPoint.SNAPSHOT_TAKEN);
        if (!ofLeader(now, m)) {
            return;
        }
        if (m.at().equals(log.termAt(m.index())) || m.index() <= acknowledged) {
            // A late one: what it stands for is held, and more may be acknowledged since.
            acknowledged = Math.max(acknowledged, m.index());
            acknowledge(now, m, true, acknowledged);
            return;
        }
        if (partial == null || !partial.term().equals(term) || partial.index() != m.index()) {
            partial = new Partial(term, m.index(), new java.io.ByteArrayOutputStream());
        }
        if (m.offset() == partial.bytes().size()) {
            partial.bytes().writeBytes(m.bytes());
        }
        if (partial.bytes().size() < m.total()) {
            send(
                    m.from(),
                    message(Message.Kind.HEARD, m.from(), m.index(), Term.NONE, m.number())
                            .with(new byte[0], partial.bytes().size(), m.total()));
            return;
        }
        try {
            MessageCodec.Snapshot whole = MessageCodec.snapshot(partial.bytes().toByteArray());
            log.reset(m.index(), m.at(), whole.view());
            view = whole.view();
            commit = m.index();
            applied = m.index();
            taken.clear();
            taken.putAll(whole.taken());
            machine.restore(whole.machine());
            acknowledged = m.index();
            forgetTaken(now);
            out.point(FaultPoint.SNAPSHOT_RESTORED);
            out.note(
                    new ConsensusEvent(
                            ConsensusEvent.Kind.RESTORED,
                            view,
                            "by " + m.from() + " up to " + m.index()));
            acknowledge(now, m, true, m.index());
        } catch (MessageCodec.Refused e) {
            count("snapshot " + e.getMessage());
        } finally {
            partial = null;
        }
    }

    // ---- Decrees
    // ---------------------------------------------------------------------------------------

    private void applyAll(long now) {
        while (applied < commit) {
            out.point(FaultPoint.DECREED);
            LogEntry e = log.get(applied + 1);
            applied++;
            if (e.hasView()) {
                view = e.view();
                machine.view(view);
                out.note(
                        new ConsensusEvent(
                                e.kind() == LogEntry.Kind.FOUND
                                        ? ConsensusEvent.Kind.FOUNDED
                                        : ConsensusEvent.Kind.VIEW,
                                view,
                                "decree " + e.index()));
            } else if (e.kind() == LogEntry.Kind.COMMAND
                    && e.number() > taken.getOrDefault(e.by(), 0L)) {
                taken.remove(e.by()); // to the end of the order
                taken.put(e.by(), e.number());
                if (taken.size() > TAKEN) {
                    taken.remove(taken.keySet().iterator().next());
                }
                machine.apply(new FencingToken(e.term().epoch(), e.index()), e.by(), e.command());
            }
            forgetTaken(now);
            out.point(FaultPoint.APPLIED);
        }
        if (log.size() > settings.kept()) {
            log.compact(applied, view);
            made = null;
        }
    }

    /** Commands of this life that are decided need not be pushed any more. */
    private void forgetTaken(long now) {
        long last = taken.getOrDefault(me, 0L);
        while (!commands.isEmpty() && commandNumber <= last) {
            commands.poll();
            commandNumber++;
            pushCommand(now);
        }
    }

    private void pushCommand(long now) {
        if (commands.isEmpty() || leader == null) {
            return;
        }
        if (leads()) {
            take(now, me, commandNumber, commands.peek());
        } else {
            send(
                    leader,
                    message(Message.Kind.COMMAND, leader, 0, Term.NONE, commandNumber)
                            .with(commands.peek(), 0, 0));
        }
    }

    private void take(long now, Life by, long number, byte[] command) {
        if (number <= taken.getOrDefault(by, 0L)) {
            return;
        }
        for (long i = log.last(); i > Math.max(log.base(), applied); i--) {
            if (by.equals(log.get(i).by()) && log.get(i).number() >= number) {
                return;
            }
        }
        write(now, LogEntry.Kind.COMMAND, Map.of(), by, number, command);
    }

    // ---- Sending
    // ---------------------------------------------------------------------------------------

    private Message message(Message.Kind kind, Life to, long index, Term at, long number) {
        return Message.of(kind, me, to, term, index, at, number);
    }

    private void send(Life to, Message m) {
        try {
            out.send(to.name(), MessageCodec.write(settings.fleet(), m));
        } catch (UncheckedIOException e) {
            count("not sent");
        }
    }

    private void count(String reason) {
        refused.merge(reason, 1L, Long::sum);
    }

    // ---- Elections
    // -------------------------------------------------------------------------------------

    /**
     * How a leader is found. A candidate first asks whether it would be voted for, so that one that
     * was cut off disturbs nobody when it comes back. It is elected by a majority of the council,
     * counted over lives that its log has taken in.
     *
     * <p>Or it founds the log anew. For that so many names of the council have to be held by lives
     * that never had a vote, each of which gives its word, that the others can't be a majority:
     * then nothing can be decided any more by the lives taken in, whatever each of them knows.
     * Those that do live give their word as well if they can be reached, and what they know goes
     * on, since nobody votes for one who knows less. A part that is cut off never has a majority of
     * names, so it can't take itself for this case.
     */
    private final class Election {
        private final Map<String, Message> said = new HashMap<>();
        private final Map<String, Life> votes = new TreeMap<>();
        private int votesOfNew;
        private long asked = -1;

        /**
         * Since when each round of questions found the whole council willing to found; -1 if none
         * did.
         */
        private long willingSince = -1;

        private boolean candidate;
        private long begunAt;
        private boolean founding;
        private Term highest = Term.NONE;

        void end() {
            candidate = false;
            asked = -1;
            willingSince = -1;
            said.clear();
        }

        void tick(long now) {
            if (asked >= 0 && !candidate && mayFound(now)) {
                long epoch =
                        Math.max(
                                Math.max(term.epoch(), highest.epoch()) + 1,
                                out.wall() / 1_000_000);
                begin(now, new Term(epoch, 1), true);
            } else if (now >= electAt) {
                ask(now);
            }
        }

        private void ask(long now) {
            electAt = now + settings.patience() + random.nextLong(settings.patience());
            candidate = false;
            if (!councillor(me.name()) || !ripe(now)) {
                return;
            }
            leader = null;
            willingSince = allWilling() ? willingSince : -1;
            said.clear();
            asked = now;
            askAll(Message.of(Message.Kind.ASK, me, null, term, log.last(), log.lastTerm(), now));
            electIfWanted(now);
        }

        /** Whoever is on the council, in the life that is taken in and in the one that is seen. */
        private void askAll(Message m) {
            for (Life life : lives()) {
                if (councillor(life.name())) {
                    send(life, m);
                }
            }
        }

        private boolean followsSomebody(long now) {
            return leads() || leader != null && now - contactAt < settings.patience();
        }

        void asked(long now, Message m) {
            boolean good = log.noBetterThan(m.at(), m.index());
            if (good && !m.at().equals(log.lastTerm()) && asked >= 0) {
                electAt =
                        Math.max(
                                electAt,
                                now + settings.patience()); // it knows more: let it be elected
                asked = -1;
            }
            send(
                    m.from(),
                    message(Message.Kind.SAY, m.from(), 0, membership(), m.number())
                            .says(good && !followsSomebody(now), voter(), ripe(now)));
        }

        void said(long now, Message m) {
            highest = highest.compareTo(m.term()) < 0 ? m.term() : highest;
            if (m.number() == asked && m.yes() && councillor(m.from().name())) {
                said.put(m.from().name(), m);
                electIfWanted(now);
            }
        }

        private void electIfWanted(long now) {
            long wanted = voter() ? 1 : 0;
            for (Message m : said.values()) {
                wanted += log.view().has(m.from()) ? 1 : 0;
            }
            if (!candidate && voter() && wanted >= settings.quorum()) {
                long round =
                        highest.epoch() == term.epoch()
                                ? Math.max(term.round(), highest.round())
                                : term.round();
                begin(now, new Term(term.epoch(), round + 1), false);
            }
        }

        /** The view whose vote this life has, for whoever knows a later one. */
        private Term membership() {
            return new Term(log.view().epoch(), log.view().number());
        }

        /**
         * Whether a life can't be among those that the newest view has taken in: it never was, or
         * it was voted out and has not heard of it. Nobody is taken in again before his log has
         * caught up, and that of such a one has not even come to the view that is decided here.
         */
        private boolean hasNoVote(Message m) {
            return !m.voter()
                    || !view.has(m.from())
                            && m.at().compareTo(new Term(view.epoch(), view.number())) < 0;
        }

        private boolean mayFound(long now) {
            long ofNew = ripe(now) && !voter() ? 1 : 0;
            for (Message m : said.values()) {
                ofNew += m.ripe() && hasNoVote(m) ? 1 : 0;
            }
            if (bereft(willing(now), ofNew)) {
                return true;
            }
            if (willing(now) < settings.council().size()) {
                return false;
            }
            willingSince = willingSince < 0 ? now : willingSince;
            return votersHere() < settings.quorum() || now - willingSince >= settings.settling();
        }

        /** Names of the council, this one among them, that would help to found. */
        private long willing(long now) {
            return (ripe(now) ? 1 : 0) + said.values().stream().filter(Message::ripe).count();
        }

        private boolean allWilling() {
            return said.size() == settings.council().size() - 1
                    && said.values().stream().allMatch(Message::ripe);
        }

        /**
         * Lives with a vote in the newest view known here that answered, or this one: they may
         * elect.
         */
        private long votersHere() {
            return (voter() ? 1 : 0)
                    + said.values().stream().filter(m -> log.view().has(m.from())).count();
        }

        /** Enough new lives show that no majority of those taken in is left. */
        private boolean bereft(long of, long ofNew) {
            return of >= settings.quorum() && ofNew >= settings.bereft();
        }

        /**
         * Where everybody gives his word, nobody is left out who might know more: a view that took
         * in too few of the living, and could not be decided before the others ended, is left
         * behind like that.
         */
        private boolean enough(long of, long ofNew) {
            return bereft(of, ofNew) || of == settings.council().size();
        }

        private void begin(long now, Term its, boolean toFound) {
            term = its;
            votedFor = me;
            leader = null;
            acknowledged = 0;
            candidate = true;
            begunAt = now;
            founding = toFound;
            votes.clear();
            votes.put(me.name(), me);
            votesOfNew = voter() ? 0 : 1;
            out.point(FaultPoint.VOTE_ASKING);
            askAll(
                    message(Message.Kind.VOTE_ASK, null, log.last(), log.lastTerm(), now)
                            .says(toFound, voter(), true));
            countVotes(now);
        }

        void voteAsked(long now, Message m) {
            out.point(FaultPoint.VOTE_TAKEN);
            boolean free =
                    m.term().compareTo(term) > 0
                            || m.term().equals(term) && m.from().equals(votedFor);
            if (!free
                    || followsSomebody(now)
                    || !log.noBetterThan(m.at(), m.index())
                    || m.yes() && !ripe(now)) {
                return;
            }
            boolean had = voter();
            follow(now, m.term(), null, m.from() + " is voted for");
            votedFor = m.from();
            out.point(FaultPoint.VOTE_PROMISED);
            send(
                    m.from(),
                    message(Message.Kind.VOTE, m.from(), 0, membership(), m.number())
                            .says(true, had, true));
            out.point(FaultPoint.VOTE_TOLD);
        }

        void voted(long now, Message m) {
            out.point(FaultPoint.VOTE_COUNTED);
            if (candidate
                    && m.yes()
                    && m.term().equals(term)
                    && councillor(m.from().name())
                    && (founding || log.view().has(m.from()))
                    && votes.putIfAbsent(m.from().name(), m.from()) == null) {
                votesOfNew += hasNoVote(m) ? 1 : 0;
                countVotes(now);
            }
        }

        private void countVotes(long now) {
            if (founding ? enough(votes.size(), votesOfNew) : votes.size() >= settings.quorum()) {
                candidate = false;
                asked = -1;
                lead(now, founding, votes, begunAt);
            }
        }
    }
}
