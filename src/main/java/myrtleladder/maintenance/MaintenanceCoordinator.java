package myrtleladder.maintenance;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import myrtleladder.consensus.ConsensusNode;
import myrtleladder.consensus.FencingToken;
import myrtleladder.consensus.Life;

/**
 * One life's part in the work on machines. It keeps away from machines that are on the agenda, says
 * when nothing of its own is in flight there, and, while it leads, moves the agenda on.
 *
 * <p>Who is cut off does not hear whose turn it is. So a process goes by what it knows only as long
 * as it has leave: an answer of a leader with a majority, which counts from when it was asked for
 * (as in a lease of Gray and Cheriton, 1989). Without leave it keeps away from all machines of the
 * plans that it knows, but for those reserved. A leader proposes a permit only when whoever has not
 * said to keep away can have no leave.
 */
public final class MaintenanceCoordinator {
    private static final String BEAT = "work";

    /** A proposal that has had no effect for so long is made again. */
    private static final long AGAIN = 2_000_000;

    private static final byte[] BEGINS = "{\"leave\":".getBytes(StandardCharsets.US_ASCII);

    private final MaintenanceSettings settings;
    private final Life me;
    private final ConsensusNode agreement;
    private final MaintenanceStateMachine agenda;
    private final Out out;
    private final Map<Life, Long> leaves = new HashMap<>();
    private final Map<String, Long> proposed = new HashMap<>();
    private final Map<Life, Long> unseen = new HashMap<>();
    private final Map<String, JobState> seen = new TreeMap<>();
    private final Map<String, Long> refused = new TreeMap<>();
    private Set<String> present = Set.of();
    private Set<String> aside = Set.of();
    private FencingToken plan;
    private long planSince;
    private boolean led;
    private long ledSince;
    private long epoch;
    private long epochSince;
    private long leaveUntil = Long.MIN_VALUE / 2;
    private boolean member;

    /** Where the actions go, and what is asked of the world. */
    public interface Out {
        /**
         * Sends a datagram to a process of that name; it may be late, lost, doubled or overtaken.
         */
        void send(String name, byte[] datagram);

        /** Asks for {@link MaintenanceCoordinator#due} after a delay by the steady clock. */
        void timer(String token, long delay);

        /** Unix time in milliseconds; it may jump. */
        long wallMillis();

        /** Attempts that this process has out at an upstream. */
        int inFlight(String upstream);

        /** The upstreams that this process is to keep away from. */
        void aside(Set<String> upstreams);

        /** Upstreams that fail by themselves, as far as this process sees. */
        List<String> failing();

        /** Why an upstream that is back does not do as its fellows; null if it does. */
        String worse(String upstream);

        /** Whether enough was seen of an upstream that is back to judge it. */
        boolean judged(String upstream);

        /** A job is in another state; for the log. */
        void moved(MaintenanceJob job);

        /** A point of fault is passed; only tests do anything here. */
        default void point(MaintenanceFaultPoint point) {}
    }

    /**
     * The work of a life that was not started yet; {@code agenda} is what {@code agreement} feeds.
     */
    public MaintenanceCoordinator(
            MaintenanceSettings settings,
            Life me,
            ConsensusNode agreement,
            MaintenanceStateMachine agenda,
            Out out) {
        this.settings = settings;
        this.me = me;
        this.agreement = agreement;
        this.agenda = agenda;
        this.out = out;
    }

    // ---- What happens to it
    // ----------------------------------------------------------------------------

    /** Begins. */
    public void started(long now) {
        epochSince = now;
        out.timer(BEAT, settings.beat());
    }

    /** Whether a datagram is meant for this part. */
    public static boolean isOurs(byte[] datagram) {
        return datagram.length >= BEGINS.length
                && Arrays.equals(datagram, 0, BEGINS.length, BEGINS, 0, BEGINS.length);
    }

    /** Names that the fast picture has as there. */
    public void present(Set<Life> lives) {
        Set<String> there = new HashSet<>();
        lives.forEach(l -> there.add(l.toString()));
        present = there;
    }

    /** A timer is due. */
    public void due(long now, String token) {
        if (token.equals(BEAT)) {
            askLeave(now);
            look(now);
            out.timer(BEAT, settings.beat());
        }
    }

    /** A datagram has come. */
    public void received(long now, byte[] datagram) {
        try {
            Map<String, Object> m = JsonMaps.read(datagram);
            Life from = life(JsonMaps.object(m, "from"));
            if (!settings.fleet().equals(JsonMaps.text(m, "fleet"))) {
                count("foreign");
            } else if (JsonMaps.text(m, "leave").equals("ask")) {
                leaveAsked(now, from, JsonMaps.number(m, "at"));
            } else if (life(JsonMaps.object(m, "to")).equals(me)) {
                leaveTaken(now, from, JsonMaps.number(m, "at"), JsonMaps.number(m, "upto"));
            } else {
                count("other life");
            }
        } catch (IOException | ClassCastException | NullPointerException e) {
            count("malformed");
        }
    }

    /** The agreement has been at work: whatever has changed is looked at, and moved on. */
    public void look(long now) {
        if (agreement.view().epoch() != epoch) {
            epoch = agreement.view().epoch();
            epochSince = now;
        }
        member |= agreement.view().has(me);
        if (led != agreement.isLeader()) {
            led = agreement.isLeader();
            ledSince = now;
            leaves.clear();
        }
        notice();
        keepAway(now);
        say(now);
        if (led && agreement.hasQuorum(now)) {
            lead(now);
        }
    }

    // ---- What can be asked of it
    // -----------------------------------------------------------------------

    /** Whether this process may send to an upstream at this moment. */
    public boolean maySend(long now, String upstream) {
        MaintenanceJob job = agenda.ofUpstream(upstream).orElse(null);
        if (job == null) {
            return true;
        }
        boolean known = hasLeave(now) && !agenda.isDoubtful(job) || job.state() == JobState.WARMING;
        return !job.state().aside() && (known || job.reserved() && member);
    }

    /** Whether it goes by what it knows: it has heard a leader with a majority lately. */
    public boolean hasLeave(long now) {
        return led ? agreement.hasQuorum(now) : now < leaveUntil;
    }

    /** Whether the fleet knows of this process; before that it had better send to nobody. */
    public boolean registered() {
        return agenda.registered(me);
    }

    /** Datagrams that were dropped, by reason. */
    public Map<String, Long> refused() {
        return Map.copyOf(refused);
    }

    /** What a job waits for, for people; null if it waits for nothing. */
    public String waits(long now, MaintenanceJob job) {
        if (agenda.halted() != null) {
            return "halted: " + agenda.halted();
        }
        if (!agenda.isSafe()) {
            return "until all that may have been granted before the last founding has run out";
        }
        List<Life> gone = agenda.mayFallBackOn(job);
        if (!gone.isEmpty()) {
            return "for " + gone + ", of which it is not known that they have ended";
        }
        if (job.state() == JobState.ASKED) {
            return agenda.hinders(job, out.failing());
        }
        if (job.state() == JobState.DRAINING) {
            List<Life> others = new ArrayList<>(agenda.mustBeClear());
            others.removeAll(job.clear());
            return others.isEmpty()
                    ? null
                    : "for " + others + " to say that nothing is in flight there";
        }
        return null;
    }

    // ---- Keeping away
    // ----------------------------------------------------------------------------------

    private void notice() {
        List<MaintenanceJob> jobs = agenda.jobs();
        seen.keySet().retainAll(jobs.stream().map(MaintenanceJob::machine).toList());
        for (MaintenanceJob job : jobs) {
            if (seen.put(job.machine(), job.state()) != job.state()) {
                out.moved(job);
                switch (job.state()) {
                    case DRAINING -> out.point(MaintenanceFaultPoint.ORDERED);
                    case OUT -> out.point(MaintenanceFaultPoint.GRANTED);
                    case WARMING -> out.point(MaintenanceFaultPoint.DONE);
                    default -> {}
                }
            }
        }
    }

    private void keepAway(long now) {
        Set<String> away = new TreeSet<>();
        for (MaintenanceJob job : agenda.jobs()) {
            String upstream = job.part().upstream();
            if (upstream != null && !job.state().over() && !maySend(now, upstream)) {
                away.add(upstream);
            }
        }
        if (!away.equals(aside)) {
            aside = away;
            out.aside(away);
        }
    }

    /** Tells the fleet what it waits for from this process. */
    private void say(long now) {
        if (!agenda.registered(me)) {
            propose(now, MaintenanceCommand.of(MaintenanceCommand.Kind.REGISTER, me.name(), null));
            return;
        }
        FencingToken latest =
                agenda.known().values().stream().max(FencingToken::compareTo).orElse(null);
        if (latest != null && !latest.equals(plan)) {
            plan = latest;
            planSince = now;
            out.point(MaintenanceFaultPoint.PLANNED);
        }
        FencingToken knows = agenda.knows(me);
        // What was sent before it was known must not be out any more when others go by that.
        if (latest != null
                && (knows == null || knows.compareTo(latest) < 0)
                && now - planSince >= settings.attempt()) {
            propose(now, MaintenanceCommand.of(MaintenanceCommand.Kind.KNOW, me.name(), latest));
        }
        for (MaintenanceJob job : agenda.jobs()) {
            String upstream = job.part().upstream();
            if (job.state() == JobState.DRAINING
                    && !job.clear().contains(me)
                    && (upstream == null || out.inFlight(upstream) == 0)) {
                propose(
                        now,
                        MaintenanceCommand.of(
                                MaintenanceCommand.Kind.CLEAR, job.machine(), job.ordered()));
            }
        }
    }

    /**
     * Has a step decided that somebody wants. One that is asked for again and again goes into the
     * log once in a while: steps are decided one after the other, and those of this process wait
     * behind it.
     */
    public void propose(long now, OperatorCommand step) {
        if (isNew(now, new String(step.bytes(), StandardCharsets.UTF_8))) {
            agreement.propose(now, step.bytes());
        }
    }

    private boolean isNew(long now, String key) {
        Long before = proposed.get(key);
        if (before != null && now - before < AGAIN) {
            return false;
        }
        proposed.values().removeIf(t -> now - t >= AGAIN);
        proposed.put(key, now);
        return true;
    }

    /** Proposes once, and again when that has had no effect for long. */
    private void propose(long now, MaintenanceCommand command) {
        byte[] bytes = command.write();
        if (!isNew(now, command.kind() + " " + command.name() + " " + command.token())) {
            return;
        }
        switch (command.kind()) {
            case ORDER -> out.point(MaintenanceFaultPoint.ORDERING);
            case CLEAR -> out.point(MaintenanceFaultPoint.CLEARING);
            case GRANT -> out.point(MaintenanceFaultPoint.GRANTING);
            case TAKEN_IN -> out.point(MaintenanceFaultPoint.TAKING_IN);
            default -> {}
        }
        agreement.propose(now, bytes);
    }

    // ---- Leave
    // -----------------------------------------------------------------------------------------

    private void askLeave(long now) {
        Life leader = agreement.leader();
        if (leader != null && !leader.equals(me)) {
            out.point(MaintenanceFaultPoint.LEAVE_ASKING);
            out.send(
                    leader.name(),
                    JsonMaps.write(
                            JsonMaps.map(
                                    "leave",
                                    "ask",
                                    "fleet",
                                    settings.fleet(),
                                    "from",
                                    map(me),
                                    "at",
                                    now)));
        }
    }

    /**
     * Whoever has leave knows all that was decided when he got it, so he is told up to where that
     * goes.
     */
    private void leaveAsked(long now, Life from, long at) {
        out.point(MaintenanceFaultPoint.LEAVE_ASKED);
        if (!agreement.isLeader() || !agreement.hasQuorum(now) || !agenda.registered(from)) {
            return;
        }
        leaves.put(from, now);
        out.point(MaintenanceFaultPoint.LEAVE_GIVEN);
        out.send(
                from.name(),
                JsonMaps.write(
                        JsonMaps.map(
                                "leave",
                                "given",
                                "fleet",
                                settings.fleet(),
                                "from",
                                map(me),
                                "to",
                                map(from),
                                "at",
                                at,
                                "upto",
                                agreement.lastApplied())));
    }

    private void leaveTaken(long now, Life from, long at, long upto) {
        out.point(MaintenanceFaultPoint.LEAVE_TAKEN);
        if (from.equals(agreement.leader()) && agreement.lastApplied() >= upto && at <= now) {
            leaveUntil = Math.max(leaveUntil, at + settings.leave());
        }
    }

    /**
     * Whether a life may have leave, as far as this leader can tell: who led before may have given
     * some.
     */
    private boolean mayHaveLeave(long now, Life life) {
        return now - ledSince < settings.leaveIsOver()
                || now - leaves.getOrDefault(life, Long.MIN_VALUE / 2) < settings.leaveIsOver();
    }

    // ---- Leading
    // ---------------------------------------------------------------------------------------

    private void lead(long now) {
        if (!agenda.isSafe() && now - epochSince >= settings.longest()) {
            propose(
                    now,
                    new MaintenanceCommand(
                            MaintenanceCommand.Kind.SAFE,
                            me.name(),
                            null,
                            epoch,
                            null,
                            null,
                            null,
                            List.of()));
        }
        markUnreachableSenders(now);
        List<String> failing = out.failing();
        boolean ordered = false;
        for (MaintenanceJob job : agenda.jobs()) {
            switch (job.state()) {
                case ASKED -> {
                    // One at a time: the next is judged with this one out.
                    if (!ordered && waits(now, job) == null) {
                        propose(
                                now,
                                MaintenanceCommand.of(
                                                MaintenanceCommand.Kind.ORDER,
                                                job.machine(),
                                                job.asked())
                                        .beside(failing));
                        ordered = true;
                    }
                }
                case DRAINING -> grant(now, job, failing);
                case OUT -> {
                    if (out.wallMillis() > job.until()) {
                        propose(
                                now,
                                MaintenanceCommand.of(
                                        MaintenanceCommand.Kind.OVERDUE,
                                        job.machine(),
                                        job.permit()));
                    }
                }
                case WARMING -> judge(now, job);
                default -> {}
            }
        }
    }

    /** Proposes that members which are in no view and were not seen for long count as gone. */
    private void markUnreachableSenders(long now) {
        for (Life life : agenda.present()) {
            boolean lost =
                    !agreement.view().has(life)
                            && !present.contains(life.toString())
                            && !life.equals(me);
            if (!lost) {
                unseen.remove(life);
            } else if (now - unseen.computeIfAbsent(life, l -> now) >= settings.lost()) {
                propose(
                        now,
                        MaintenanceCommand.of(MaintenanceCommand.Kind.GONE, life.name(), null)
                                .because(Long.toHexString(life.life())));
            }
        }
    }

    private void grant(long now, MaintenanceJob job, List<String> failing) {
        boolean silent =
                agenda.gone().stream()
                        .allMatch(l -> job.clear().contains(l) || !mayHaveLeave(now, l));
        if (silent && waits(now, job) == null) {
            long until = out.wallMillis() + 1_000 * job.part().seconds();
            propose(
                    now,
                    MaintenanceCommand.of(
                                    MaintenanceCommand.Kind.GRANT, job.machine(), job.ordered())
                            .until(until)
                            .beside(failing));
        }
    }

    private void judge(long now, MaintenanceJob job) {
        String upstream = job.part().upstream();
        if (upstream == null) {
            propose(
                    now,
                    MaintenanceCommand.of(
                            MaintenanceCommand.Kind.TAKEN_IN, job.machine(), job.permit()));
        } else if (out.judged(upstream)) {
            String worse = out.worse(upstream);
            propose(
                    now,
                    worse == null
                            ? MaintenanceCommand.of(
                                    MaintenanceCommand.Kind.TAKEN_IN, job.machine(), job.permit())
                            : MaintenanceCommand.of(
                                            MaintenanceCommand.Kind.FAIL,
                                            job.machine(),
                                            job.permit())
                                    .because(worse));
        }
    }

    private void count(String reason) {
        refused.merge(reason, 1L, Long::sum);
    }

    private static Map<String, Object> map(Life life) {
        return JsonMaps.map("name", life.name(), "life", life.life());
    }

    private static Life life(Map<String, Object> map) {
        return new Life(JsonMaps.text(map, "name"), JsonMaps.number(map, "life"));
    }
}
