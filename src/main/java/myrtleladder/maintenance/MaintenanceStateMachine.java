package myrtleladder.maintenance;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import myrtleladder.consensus.FencingToken;
import myrtleladder.consensus.Life;
import myrtleladder.consensus.StateMachine;
import myrtleladder.consensus.View;

/**
 * What is agreed on the work on machines: fed by the log, the same in all processes that have heard
 * the same of it. Each step is judged when it is decided, by what is decided then; one that does
 * not fit any more changes nothing. What it says of time, of reachability and of leave to send,
 * others look after ({@link MaintenanceCoordinator}).
 */
public class MaintenanceStateMachine implements StateMachine {
    /** Jobs that are over are remembered up to so many. */
    private static final int REMEMBERED = 256;

    private static final int REFUSALS = 64;

    /** Failing upstreams that are told with a step; more than that, and no plan allows anything. */
    public static final int MOST_FAILING = 16;

    private final Map<String, MaintenanceJob> jobs = new LinkedHashMap<>();
    private final Map<String, Plan> plans = new LinkedHashMap<>();
    private final Map<Life, Sender> senders = new LinkedHashMap<>();
    private final Map<String, String> refusals = new LinkedHashMap<>();
    private View view = View.NONE;

    /** The epoch in which nothing granted before it can be going on any more. */
    private long safe;

    private String halted;
    private long ignored;

    /**
     * A plan with the decree that began it and, once all its machines have come, the one that ended
     * that.
     */
    private record Plan(PlanTerms terms, Life by, FencingToken asked, FencingToken whole) {}

    /**
     * Who may send to upstreams.
     *
     * @param gone voted out, or not seen for long: it may still send, with what it knows
     * @param knows the latest plan that it has said to know, null for none
     */
    private record Sender(boolean gone, FencingToken knows) {}

    // ---- What can be asked of it
    // -----------------------------------------------------------------------

    /** All jobs, those whose turn it is or will be in their order, then those that are over. */
    public List<MaintenanceJob> jobs() {
        Comparator<MaintenanceJob> order =
                Comparator.comparing((MaintenanceJob j) -> j.state().over())
                        .thenComparing(j -> j.state() == JobState.ASKED)
                        .thenComparing(j -> !j.first())
                        .thenComparing(j -> deadline(j))
                        .thenComparing(j -> -priority(j))
                        .thenComparing(MaintenanceJob::asked)
                        .thenComparing(MaintenanceJob::number);
        return jobs.values().stream().sorted(order).toList();
    }

    private long deadline(MaintenanceJob job) {
        Plan plan = plans.get(job.plan());
        return plan == null || plan.terms().deadline() == 0
                ? Long.MAX_VALUE
                : plan.terms().deadline();
    }

    private long priority(MaintenanceJob job) {
        Plan plan = plans.get(job.plan());
        return plan == null ? 0 : plan.terms().priority();
    }

    /** The last job of a machine, null if it never had one. */
    public MaintenanceJob job(String machine) {
        return jobs.get(machine);
    }

    /** The job that an upstream's machine has, if it is not over. */
    public Optional<MaintenanceJob> ofUpstream(String upstream) {
        return jobs.values().stream()
                .filter(j -> !j.state().over() && upstream.equals(j.part().upstream()))
                .findFirst();
    }

    /** Why nothing more is taken out, null if it is. */
    public String halted() {
        return halted;
    }

    /** Plans that were not taken, with the reason. */
    public Map<String, String> refusals() {
        return Map.copyOf(refusals);
    }

    /** Plans that are whole, by name, with the decree from which they are. */
    public Map<String, FencingToken> known() {
        Map<String, FencingToken> whole = new TreeMap<>();
        plans.forEach(
                (name, plan) -> {
                    if (plan.whole() != null) {
                        whole.put(name, plan.whole());
                    }
                });
        return whole;
    }

    /** Whether a life may send, as far as it has said so. */
    public boolean registered(Life life) {
        return senders.containsKey(life);
    }

    /** The latest plan that a life has said to know, null for none. */
    public FencingToken knows(Life life) {
        Sender sender = senders.get(life);
        return sender == null ? null : sender.knows();
    }

    /** Those who may send and belong to the fleet. */
    public List<Life> present() {
        return senders.entrySet().stream()
                .filter(s -> !s.getValue().gone())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Those who may still send and are not heard any more. */
    public List<Life> gone() {
        return senders.entrySet().stream()
                .filter(s -> s.getValue().gone())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Whether nothing that was granted before the last founding can be going on any more. */
    public boolean isSafe() {
        return view.epoch() > 0 && safe == view.epoch();
    }

    /**
     * Whether a job is older than the last founding, and what was granted before that may be going
     * on.
     */
    public boolean isDoubtful(MaintenanceJob job) {
        return !isSafe() && job.asked().epoch() < view.epoch();
    }

    /** Steps that did not fit when they were decided. */
    public long ignored() {
        return ignored;
    }

    /**
     * Why a machine can't be missing now: null if it can. All plans that have one missing are kept
     * to, not only its own; what fails by itself counts.
     */
    public String hinders(MaintenanceJob job, List<String> down) {
        List<MaintenanceJob> missing =
                jobs.values().stream()
                        .filter(j -> !j.machine().equals(job.machine()) && j.state().missing())
                        .toList();
        long failing =
                down.stream()
                        .filter(
                                d ->
                                        !d.equals(job.part().upstream())
                                                && missing.stream()
                                                        .noneMatch(
                                                                j -> d.equals(j.part().upstream())))
                        .count();
        long count = missing.size() + failing + 1;
        List<MaintenanceJob> all = new ArrayList<>(missing);
        all.add(job);
        for (MaintenanceJob one : all) {
            PlanTerms terms = plans.get(one.plan()).terms();
            long zone = all.stream().filter(j -> j.part().zone() == one.part().zone()).count();
            String why =
                    count > terms.atOnce()
                            ? terms.atOnce() + " at once"
                            : zone > terms.perZone()
                                    ? terms.perZone() + " in a zone"
                                    : count > terms.sparable()
                                            ? terms.keepPercent() + "% that have to serve"
                                            : null;
            for (MaintenanceJob other : all) {
                if (why == null
                        && other != one
                        && together(terms.apart(), one.part(), other.part())) {
                    why = "no two of one " + terms.apart().name().toLowerCase(Locale.ROOT);
                }
            }
            if (why != null) {
                return "plan " + one.plan() + " allows " + why;
            }
        }
        return null;
    }

    /** Of whom it has to be known that nothing of theirs is in flight, before a permit. */
    List<Life> mustBeClear() {
        return present();
    }

    /** Why a machine whose turn it is can't be missing after all. */
    String hindersPermit(MaintenanceJob job, List<String> down) {
        return hinders(job, down);
    }

    private static boolean together(PlanTerms.Apart apart, MachineSpec one, MachineSpec other) {
        return switch (apart) {
            case CELL -> one.zone() == other.zone() && one.cell() == other.cell();
            case KIND -> one.kind() == other.kind();
            case NOTHING -> false;
        };
    }

    /**
     * Of those who are gone, who may still send to a machine: who has not said to send nothing
     * there, and either does not know its plan, or may fall back on it when he is cut off.
     */
    public List<Life> mayFallBackOn(MaintenanceJob job) {
        return gone().stream()
                .filter(l -> !job.clear().contains(l))
                .filter(
                        l -> {
                            FencingToken knows = senders.get(l).knows();
                            return job.reserved()
                                    || knows == null
                                    || knows.compareTo(job.asked()) < 0;
                        })
                .toList();
    }

    // ---- Steps
    // -----------------------------------------------------------------------------------------

    @Override
    public void apply(FencingToken token, Life by, byte[] bytes) {
        MaintenanceCommand c;
        try {
            c = MaintenanceCommand.read(bytes);
        } catch (IOException e) {
            ignored++; // by a later build, say; those who understand it and those who don't part
            // here
            return;
        }
        boolean fits =
                switch (c.kind()) {
                    case REGISTER -> register(by);
                    case GONE -> gone(c);
                    case ENDED ->
                            senders.entrySet()
                                    .removeIf(
                                            s ->
                                                    s.getKey().name().equals(c.name())
                                                            && s.getValue().gone());
                    case SAFE -> safe(c);
                    case PLAN -> plan(token, by, c);
                    case PART -> part(token, c);
                    case KNOW -> know(by, c);
                    case ORDER -> order(token, c);
                    case CLEAR -> clear(by, c);
                    case GRANT -> grant(token, c);
                    case DONE -> move(c, JobState.WARMING, JobState.OUT, JobState.OVERDUE);
                    case TAKEN_IN -> move(c, JobState.IN, JobState.WARMING);
                    case FAIL -> fail(c);
                    case OVERDUE -> move(c, JobState.OVERDUE, JobState.OUT);
                    case HALT -> halt(c.text());
                    case RESUME -> resume();
                    case WITHDRAW -> withdraw(c);
                    case FIRST -> first(c);
                };
        ignored += fits ? 0 : 1;
        dropHalfPlans();
    }

    /** Whoever was handing a plan in has gone in the midst of it: the rest will not come. */
    private void dropHalfPlans() {
        for (Map.Entry<String, Plan> p : List.copyOf(plans.entrySet())) {
            Sender by = senders.get(p.getValue().by());
            if (p.getValue().whole() == null && (by == null || by.gone())) {
                List<MaintenanceJob> its = of(p.getKey());
                jobs.values().removeAll(its);
                plans.remove(p.getKey());
                refuse(
                        p.getKey(),
                        "its "
                                + p.getValue().terms().machines()
                                + " machines had not all come when "
                                + p.getValue().by().name()
                                + ", which took it, went: hand it in again");
            }
        }
    }

    private boolean register(Life by) {
        // One process, one name: its earlier lives have ended.
        senders.keySet().removeIf(l -> l.name().equals(by.name()) && !l.equals(by));
        return senders.put(by, new Sender(false, knows(by))) == null;
    }

    private boolean gone(MaintenanceCommand c) {
        List<Life> its =
                present().stream()
                        .filter(
                                l ->
                                        l.name().equals(c.name())
                                                && Long.toHexString(l.life()).equals(c.text())
                                                && !view.has(l))
                        .toList();
        its.forEach(l -> senders.put(l, new Sender(true, knows(l))));
        return !its.isEmpty();
    }

    private boolean safe(MaintenanceCommand c) {
        boolean fits = c.at() == view.epoch() && safe != view.epoch();
        safe = fits ? c.at() : safe;
        return fits;
    }

    private boolean plan(FencingToken token, Life by, MaintenanceCommand c) {
        Plan before = plans.get(c.name());
        if (before != null
                && jobs.values().stream()
                        .anyMatch(j -> j.plan().equals(c.name()) && !j.state().over())) {
            return refuse(c.name(), "there is a plan of that name that is not over");
        }
        String never = c.terms().never();
        if (never != null) {
            return refuse(c.name(), never);
        }
        refusals.remove(c.name());
        plans.put(c.name(), new Plan(c.terms(), by, token, null));
        return true;
    }

    private boolean refuse(String plan, String why) {
        refusals.remove(plan);
        refusals.put(plan, why);
        if (refusals.size() > REFUSALS) {
            refusals.remove(refusals.keySet().iterator().next());
        }
        return false;
    }

    private List<MaintenanceJob> of(String plan) {
        Plan its = plans.get(plan);
        return jobs.values().stream()
                .filter(j -> j.plan().equals(plan) && j.asked().compareTo(its.asked()) >= 0)
                .toList();
    }

    /**
     * The last one makes the plan whole. A machine that another plan has is refused, with the
     * reason.
     */
    private boolean part(FencingToken token, MaintenanceCommand c) {
        Plan plan = plans.get(c.name());
        if (plan == null || plan.whole() != null) {
            return false;
        }
        MachineSpec part = c.part();
        MaintenanceJob held = jobs.get(part.machine());
        boolean taken = held != null && !held.state().over();
        Optional<MaintenanceJob> same =
                part.upstream() == null ? Optional.empty() : ofUpstream(part.upstream());
        String refused =
                taken
                        ? "plan " + held.plan() + " has it already"
                        : same.isPresent()
                                ? "plan " + same.get().plan() + " has its upstream already"
                                : null;
        long number = of(c.name()).size();
        if (refused == null) {
            jobs.remove(part.machine());
            jobs.put(part.machine(), MaintenanceJob.of(part, c.name(), token, number, null));
        } else {
            // Beside the other plan's job, so that both can be seen.
            String name = part.machine() + " (" + c.name() + ")";
            jobs.put(
                    name,
                    MaintenanceJob.of(
                            new MachineSpec(
                                    name,
                                    null,
                                    null,
                                    part.zone(),
                                    part.kind(),
                                    part.cell(),
                                    part.seconds()),
                            c.name(),
                            token,
                            number,
                            refused));
        }
        if (number + 1 >= plan.terms().machines()) {
            whole(token, c.name(), plan);
        }
        return true;
    }

    /**
     * Someone who is cut off leaves the machines of a plan that he knows alone; so that half of all
     * upstreams stay for him, the last ones of the plan are reserved.
     */
    private void whole(FencingToken token, String name, Plan plan) {
        plans.put(name, new Plan(plan.terms(), plan.by(), plan.asked(), token));
        long all = plan.terms().all();
        long leftAlone =
                jobs.values().stream()
                        .filter(
                                j ->
                                        !j.state().over()
                                                && !j.reserved()
                                                && j.part().upstream() != null)
                        .count();
        long reserve = (all + 1) / 2 - (all - leftAlone);
        List<MaintenanceJob> its = new ArrayList<>(of(name));
        Collections.reverse(its);
        for (MaintenanceJob job : its) {
            MaintenanceJob known =
                    new MaintenanceJob(
                            job.part(),
                            name,
                            token,
                            job.number(),
                            false,
                            false,
                            job.state(),
                            null,
                            null,
                            0,
                            job.clear(),
                            job.why());
            boolean reserved = reserve > 0 && job.part().upstream() != null && !job.state().over();
            reserve -= reserved ? 1 : 0;
            jobs.put(job.machine(), reserved ? known.reserve() : known);
        }
    }

    private boolean know(Life by, MaintenanceCommand c) {
        Sender sender = senders.get(by);
        if (sender == null || sender.knows() != null && sender.knows().compareTo(c.token()) >= 0) {
            return false;
        }
        senders.put(by, new Sender(sender.gone(), c.token()));
        return true;
    }

    private boolean order(FencingToken token, MaintenanceCommand c) {
        MaintenanceJob job = jobs.get(c.name());
        Plan plan = job == null ? null : plans.get(job.plan());
        if (plan == null
                || plan.whole() == null
                || job.state() != JobState.ASKED
                || halted != null
                || !isSafe()
                || hinders(job, c.down()) != null
                || !mayFallBackOn(job).isEmpty()) {
            return false;
        }
        jobs.put(c.name(), job.order(token));
        return true;
    }

    private boolean clear(Life by, MaintenanceCommand c) {
        MaintenanceJob job = jobs.get(c.name());
        if (job == null || job.state() != JobState.DRAINING || !job.ordered().equals(c.token())) {
            return false;
        }
        jobs.put(c.name(), job.cleared(by));
        return true;
    }

    /** Judged anew by what is so now: since it was ordered others may have failed, or have come. */
    private boolean grant(FencingToken token, MaintenanceCommand c) {
        MaintenanceJob job = jobs.get(c.name());
        if (job == null
                || job.state() != JobState.DRAINING
                || !job.ordered().equals(c.token())
                || !isSafe()
                || !job.clear().containsAll(mustBeClear())
                || !mayFallBackOn(job).isEmpty()) {
            return false;
        }
        String why = halted != null ? "halted: " + halted : hindersPermit(job, c.down());
        jobs.put(
                c.name(),
                why == null
                        ? job.permit(token, c.at())
                        : job.now(JobState.ASKED, "put back: " + why));
        return why == null;
    }

    /** By the permit's own token: one that is older was for another time. */
    private boolean move(MaintenanceCommand c, JobState to, JobState... from) {
        MaintenanceJob job = jobs.get(c.name());
        if (job == null
                || !List.of(from).contains(job.state())
                || !job.permit().equals(c.token())) {
            return false;
        }
        jobs.put(c.name(), job.now(to, c.text()));
        forget();
        return true;
    }

    private boolean fail(MaintenanceCommand c) {
        return move(c, JobState.FAILED, JobState.WARMING, JobState.OUT, JobState.OVERDUE)
                && halt(c.name() + " came back bad: " + c.text());
    }

    private boolean halt(String why) {
        boolean fits = halted == null;
        halted = fits ? why : halted;
        return fits;
    }

    /** Operators have looked at what failed: it may serve again. */
    private boolean resume() {
        boolean fits = halted != null;
        halted = null;
        jobs.replaceAll((m, j) -> j.state() == JobState.FAILED ? j.now(JobState.IN, j.why()) : j);
        return fits;
    }

    private boolean withdraw(MaintenanceCommand c) {
        boolean some = false;
        for (MaintenanceJob job : List.copyOf(jobs.values())) {
            boolean meant = job.machine().equals(c.name()) || job.plan().equals(c.name());
            if (meant && (job.state() == JobState.ASKED || job.state() == JobState.DRAINING)) {
                jobs.put(job.machine(), job.now(JobState.WITHDRAWN, c.text()));
                some = true;
            }
        }
        forget();
        return some;
    }

    private boolean first(MaintenanceCommand c) {
        MaintenanceJob job = jobs.get(c.name());
        if (job == null || job.state() != JobState.ASKED) {
            return false;
        }
        jobs.put(c.name(), job.before());
        return true;
    }

    private void forget() {
        long over = jobs.values().stream().filter(j -> j.state().over()).count();
        for (MaintenanceJob job :
                over > REMEMBERED ? List.copyOf(jobs.values()) : List.<MaintenanceJob>of()) {
            if (over > REMEMBERED && job.state().over()) {
                jobs.remove(job.machine());
                over--;
            }
        }
        plans.entrySet()
                .removeIf(
                        p ->
                                p.getValue().whole() != null
                                        && jobs.values().stream()
                                                .noneMatch(j -> j.plan().equals(p.getKey())));
    }

    @Override
    public void view(View next) {
        View before = view;
        view = next;
        next.lives()
                .forEach(
                        (name, life) -> {
                            Life its = new Life(name, life);
                            senders.keySet().removeIf(l -> l.name().equals(name) && !l.equals(its));
                            senders.put(its, new Sender(false, knows(its)));
                        });
        senders.replaceAll(
                (l, s) -> before.has(l) && !next.has(l) ? new Sender(true, s.knows()) : s);
        dropHalfPlans();
    }

    // ---- Snapshots
    // -------------------------------------------------------------------------------------

    @Override
    public byte[] snapshot() {
        List<Object> its = new ArrayList<>();
        plans.forEach(
                (name, p) ->
                        its.add(
                                JsonMaps.map(
                                        "terms",
                                        p.terms().toMap(),
                                        "by",
                                        p.by().name(),
                                        "life",
                                        p.by().life(),
                                        "asked",
                                        MaintenanceJob.token(p.asked()),
                                        "whole",
                                        MaintenanceJob.token(p.whole()))));
        List<Object> who = new ArrayList<>();
        senders.forEach(
                (l, s) ->
                        who.add(
                                JsonMaps.map(
                                        "name",
                                        l.name(),
                                        "life",
                                        l.life(),
                                        "gone",
                                        s.gone(),
                                        "knows",
                                        MaintenanceJob.token(s.knows()))));
        List<Object> refused = new ArrayList<>();
        refusals.forEach((plan, why) -> refused.add(JsonMaps.map("plan", plan, "why", why)));
        return JsonMaps.write(
                JsonMaps.map(
                        "epoch",
                        view.epoch(),
                        "number",
                        view.number(),
                        "view",
                        MaintenanceJob.lives(
                                view.lives().entrySet().stream()
                                        .map(l -> new Life(l.getKey(), l.getValue()))
                                        .toList()),
                        "safe",
                        safe,
                        "halted",
                        halted,
                        "ignored",
                        ignored,
                        "jobs",
                        jobs.values().stream().map(MaintenanceJob::toMap).toList(),
                        "plans",
                        its,
                        "senders",
                        who,
                        "refusals",
                        refused));
    }

    @Override
    public void restore(byte[] snapshot) {
        Map<String, Object> map;
        try {
            map = snapshot.length == 0 ? Map.of() : JsonMaps.read(snapshot);
        } catch (IOException e) {
            throw new IllegalStateException("a snapshot of ours can't be read", e);
        }
        Map<String, Long> lives = new TreeMap<>();
        MaintenanceJob.lives(JsonMaps.list(map, "view"))
                .forEach(l -> lives.put(l.name(), l.life()));
        view = new View(JsonMaps.number(map, "epoch"), JsonMaps.number(map, "number"), lives);
        safe = JsonMaps.number(map, "safe");
        halted = JsonMaps.text(map, "halted");
        ignored = JsonMaps.number(map, "ignored");
        jobs.clear();
        JsonMaps.list(map, "jobs")
                .forEach(
                        j -> {
                            MaintenanceJob job = MaintenanceJob.of(j);
                            jobs.put(job.machine(), job);
                        });
        plans.clear();
        JsonMaps.list(map, "plans")
                .forEach(
                        p -> {
                            PlanTerms terms = PlanTerms.of(JsonMaps.object(p, "terms"));
                            plans.put(
                                    terms.plan(),
                                    new Plan(
                                            terms,
                                            new Life(
                                                    JsonMaps.text(p, "by"),
                                                    JsonMaps.number(p, "life")),
                                            MaintenanceJob.token(p, "asked"),
                                            MaintenanceJob.token(p, "whole")));
                        });
        senders.clear();
        JsonMaps.list(map, "senders")
                .forEach(
                        s ->
                                senders.put(
                                        new Life(
                                                JsonMaps.text(s, "name"),
                                                JsonMaps.number(s, "life")),
                                        new Sender(
                                                (Boolean) s.get("gone"),
                                                MaintenanceJob.token(s, "knows"))));
        refusals.clear();
        JsonMaps.list(map, "refusals")
                .forEach(r -> refusals.put(JsonMaps.text(r, "plan"), JsonMaps.text(r, "why")));
    }
}
