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
import myrtleladder.consensus.Life;
import myrtleladder.consensus.Machine;
import myrtleladder.consensus.Token;
import myrtleladder.consensus.View;

/**
 * What is agreed on the work on machines: fed by the log, the same in all processes that have heard
 * the same of it. Each step is judged when it is decided, by what is decided then; one that does
 * not fit any more changes nothing. What it says of time, of reachability and of leave to send,
 * others look after ({@link Work}).
 */
public class Agenda implements Machine {
    /** Jobs that are over are remembered up to so many. */
    private static final int REMEMBERED = 256;

    private static final int REFUSALS = 64;

    /** Failing upstreams that are told with a step; more than that, and no plan allows anything. */
    public static final int MOST_FAILING = 16;

    private final Map<String, Job> jobs = new LinkedHashMap<>();
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
    private record Plan(Terms terms, Life by, Token asked, Token whole) {}

    /**
     * Who may send to upstreams.
     *
     * @param gone voted out, or not seen for long: it may still send, with what it knows
     * @param knows the latest plan that it has said to know, null for none
     */
    private record Sender(boolean gone, Token knows) {}

    // ---- What can be asked of it
    // -----------------------------------------------------------------------

    /** All jobs, those whose turn it is or will be in their order, then those that are over. */
    public List<Job> jobs() {
        Comparator<Job> order =
                Comparator.comparing((Job j) -> j.state().over())
                        .thenComparing(j -> j.state() == State.ASKED)
                        .thenComparing(j -> !j.first())
                        .thenComparing(j -> deadline(j))
                        .thenComparing(j -> -priority(j))
                        .thenComparing(Job::asked)
                        .thenComparing(Job::number);
        return jobs.values().stream().sorted(order).toList();
    }

    private long deadline(Job job) {
        Plan plan = plans.get(job.plan());
        return plan == null || plan.terms().deadline() == 0
                ? Long.MAX_VALUE
                : plan.terms().deadline();
    }

    private long priority(Job job) {
        Plan plan = plans.get(job.plan());
        return plan == null ? 0 : plan.terms().priority();
    }

    /** The last job of a machine, null if it never had one. */
    public Job job(String machine) {
        return jobs.get(machine);
    }

    /** The job that an upstream's machine has, if it is not over. */
    public Optional<Job> ofUpstream(String upstream) {
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
    public Map<String, Token> known() {
        Map<String, Token> whole = new TreeMap<>();
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
    public Token knows(Life life) {
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
    public boolean isDoubtful(Job job) {
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
    public String hinders(Job job, List<String> down) {
        List<Job> missing =
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
        List<Job> all = new ArrayList<>(missing);
        all.add(job);
        for (Job one : all) {
            Terms terms = plans.get(one.plan()).terms();
            long zone = all.stream().filter(j -> j.part().zone() == one.part().zone()).count();
            String why =
                    count > terms.atOnce()
                            ? terms.atOnce() + " at once"
                            : zone > terms.perZone()
                                    ? terms.perZone() + " in a zone"
                                    : count > terms.sparable()
                                            ? terms.keepPercent() + "% that have to serve"
                                            : null;
            for (Job other : all) {
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
    String hindersPermit(Job job, List<String> down) {
        return hinders(job, down);
    }

    private static boolean together(Terms.Apart apart, Part one, Part other) {
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
    public List<Life> mayFallBackOn(Job job) {
        return gone().stream()
                .filter(l -> !job.clear().contains(l))
                .filter(
                        l -> {
                            Token knows = senders.get(l).knows();
                            return job.reserved()
                                    || knows == null
                                    || knows.compareTo(job.asked()) < 0;
                        })
                .toList();
    }

    // ---- Steps
    // -----------------------------------------------------------------------------------------

    @Override
    public void apply(Token token, Life by, byte[] bytes) {
        Command c;
        try {
            c = Command.read(bytes);
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
                    case DONE -> move(c, State.WARMING, State.OUT, State.OVERDUE);
                    case TAKEN_IN -> move(c, State.IN, State.WARMING);
                    case FAIL -> fail(c);
                    case OVERDUE -> move(c, State.OVERDUE, State.OUT);
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
                List<Job> its = of(p.getKey());
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

    private boolean gone(Command c) {
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

    private boolean safe(Command c) {
        boolean fits = c.at() == view.epoch() && safe != view.epoch();
        safe = fits ? c.at() : safe;
        return fits;
    }

    private boolean plan(Token token, Life by, Command c) {
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

    private List<Job> of(String plan) {
        Plan its = plans.get(plan);
        return jobs.values().stream()
                .filter(j -> j.plan().equals(plan) && j.asked().compareTo(its.asked()) >= 0)
                .toList();
    }

    /**
     * The last one makes the plan whole. A machine that another plan has is refused, with the
     * reason.
     */
    private boolean part(Token token, Command c) {
        Plan plan = plans.get(c.name());
        if (plan == null || plan.whole() != null) {
            return false;
        }
        Part part = c.part();
        Job held = jobs.get(part.machine());
        boolean taken = held != null && !held.state().over();
        Optional<Job> same =
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
            jobs.put(part.machine(), Job.of(part, c.name(), token, number, null));
        } else {
            // Beside the other plan's job, so that both can be seen.
            String name = part.machine() + " (" + c.name() + ")";
            jobs.put(
                    name,
                    Job.of(
                            new Part(
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
    private void whole(Token token, String name, Plan plan) {
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
        List<Job> its = new ArrayList<>(of(name));
        Collections.reverse(its);
        for (Job job : its) {
            Job known =
                    new Job(
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

    private boolean know(Life by, Command c) {
        Sender sender = senders.get(by);
        if (sender == null || sender.knows() != null && sender.knows().compareTo(c.token()) >= 0) {
            return false;
        }
        senders.put(by, new Sender(sender.gone(), c.token()));
        return true;
    }

    private boolean order(Token token, Command c) {
        Job job = jobs.get(c.name());
        Plan plan = job == null ? null : plans.get(job.plan());
        if (plan == null
                || plan.whole() == null
                || job.state() != State.ASKED
                || halted != null
                || !isSafe()
                || hinders(job, c.down()) != null
                || !mayFallBackOn(job).isEmpty()) {
            return false;
        }
        jobs.put(c.name(), job.order(token));
        return true;
    }

    private boolean clear(Life by, Command c) {
        Job job = jobs.get(c.name());
        if (job == null || job.state() != State.DRAINING || !job.ordered().equals(c.token())) {
            return false;
        }
        jobs.put(c.name(), job.cleared(by));
        return true;
    }

    /** Judged anew by what is so now: since it was ordered others may have failed, or have come. */
    private boolean grant(Token token, Command c) {
        Job job = jobs.get(c.name());
        if (job == null
                || job.state() != State.DRAINING
                || !job.ordered().equals(c.token())
                || !isSafe()
                || !job.clear().containsAll(mustBeClear())
                || !mayFallBackOn(job).isEmpty()) {
            return false;
        }
        String why = halted != null ? "halted: " + halted : hindersPermit(job, c.down());
        jobs.put(
                c.name(),
                why == null ? job.permit(token, c.at()) : job.now(State.ASKED, "put back: " + why));
        return why == null;
    }

    /** By the permit's own token: one that is older was for another time. */
    private boolean move(Command c, State to, State... from) {
        Job job = jobs.get(c.name());
        if (job == null
                || !List.of(from).contains(job.state())
                || !job.permit().equals(c.token())) {
            return false;
        }
        jobs.put(c.name(), job.now(to, c.text()));
        forget();
        return true;
    }

    private boolean fail(Command c) {
        return move(c, State.FAILED, State.WARMING, State.OUT, State.OVERDUE)
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
        jobs.replaceAll((m, j) -> j.state() == State.FAILED ? j.now(State.IN, j.why()) : j);
        return fits;
    }

    private boolean withdraw(Command c) {
        boolean some = false;
        for (Job job : List.copyOf(jobs.values())) {
            boolean meant = job.machine().equals(c.name()) || job.plan().equals(c.name());
            if (meant && (job.state() == State.ASKED || job.state() == State.DRAINING)) {
                jobs.put(job.machine(), job.now(State.WITHDRAWN, c.text()));
                some = true;
            }
        }
        forget();
        return some;
    }

    private boolean first(Command c) {
        Job job = jobs.get(c.name());
        if (job == null || job.state() != State.ASKED) {
            return false;
        }
        jobs.put(c.name(), job.before());
        return true;
    }

    private void forget() {
        long over = jobs.values().stream().filter(j -> j.state().over()).count();
        for (Job job : over > REMEMBERED ? List.copyOf(jobs.values()) : List.<Job>of()) {
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
                                Json.map(
                                        "terms",
                                        p.terms().toMap(),
                                        "by",
                                        p.by().name(),
                                        "life",
                                        p.by().life(),
                                        "asked",
                                        Job.token(p.asked()),
                                        "whole",
                                        Job.token(p.whole()))));
        List<Object> who = new ArrayList<>();
        senders.forEach(
                (l, s) ->
                        who.add(
                                Json.map(
                                        "name",
                                        l.name(),
                                        "life",
                                        l.life(),
                                        "gone",
                                        s.gone(),
                                        "knows",
                                        Job.token(s.knows()))));
        List<Object> refused = new ArrayList<>();
        refusals.forEach((plan, why) -> refused.add(Json.map("plan", plan, "why", why)));
        return Json.write(
                Json.map(
                        "epoch",
                        view.epoch(),
                        "number",
                        view.number(),
                        "view",
                        Job.lives(
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
                        jobs.values().stream().map(Job::toMap).toList(),
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
            map = snapshot.length == 0 ? Map.of() : Json.read(snapshot);
        } catch (IOException e) {
            throw new IllegalStateException("a snapshot of ours can't be read", e);
        }
        Map<String, Long> lives = new TreeMap<>();
        Job.lives(Json.list(map, "view")).forEach(l -> lives.put(l.name(), l.life()));
        view = new View(Json.number(map, "epoch"), Json.number(map, "number"), lives);
        safe = Json.number(map, "safe");
        halted = Json.text(map, "halted");
        ignored = Json.number(map, "ignored");
        jobs.clear();
        Json.list(map, "jobs")
                .forEach(
                        j -> {
                            Job job = Job.of(j);
                            jobs.put(job.machine(), job);
                        });
        plans.clear();
        Json.list(map, "plans")
                .forEach(
                        p -> {
                            Terms terms = Terms.of(Json.object(p, "terms"));
                            plans.put(
                                    terms.plan(),
                                    new Plan(
                                            terms,
                                            new Life(Json.text(p, "by"), Json.number(p, "life")),
                                            Job.token(p, "asked"),
                                            Job.token(p, "whole")));
                        });
        senders.clear();
        Json.list(map, "senders")
                .forEach(
                        s ->
                                senders.put(
                                        new Life(Json.text(s, "name"), Json.number(s, "life")),
                                        new Sender(
                                                (Boolean) s.get("gone"), Job.token(s, "knows"))));
        refusals.clear();
        Json.list(map, "refusals")
                .forEach(r -> refusals.put(Json.text(r, "plan"), Json.text(r, "why")));
    }
}
