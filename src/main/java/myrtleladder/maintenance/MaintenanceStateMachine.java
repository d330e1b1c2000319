package myrtleladder.maintenance;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import myrtleladder.consensus.FencingToken;
import myrtleladder.consensus.ProcessId;
import myrtleladder.consensus.StateMachine;
import myrtleladder.consensus.View;

/**
 * The replicated state of maintenance: plans, jobs, senders. Equal in all processes that have
 * applied the same log. Each command is judged when it is applied, by the state then; one that does
 * not fit any more changes nothing. Time, reachability and leases are up to {@link
 * MaintenanceCoordinator}.
 *
 * <p>Not thread-safe: confined to the thread of the consensus node.
 */
public class MaintenanceStateMachine implements StateMachine {
    /** Failing upstreams reported with a command; with more, no plan allows anything. */
    public static final int MAX_FAILING_UPSTREAMS = 16;

    /** Finished jobs that are kept. */
    private static final int MAX_FINISHED_JOBS = 256;

    /** Refused plans whose reason is kept. */
    private static final int MAX_REFUSALS = 64;

    private final Map<String, MaintenanceJob> jobs = new LinkedHashMap<>();
    private final Map<String, MaintenancePlan> plans = new LinkedHashMap<>();
    private final Map<String, String> refusals = new LinkedHashMap<>();
    private final SenderRegistry senders = new SenderRegistry();
    private View view = View.NONE;

    /** The epoch in which nothing permitted before it can be going on any more. */
    private long safeEpoch;

    /** Null if maintenance is not halted. */
    private String haltReason;

    private long ignoredCommands;

    /** All jobs: those whose turn it is, those that wait in their order, those that are over. */
    public List<MaintenanceJob> jobs() {
        Comparator<MaintenanceJob> order =
                Comparator.comparing((MaintenanceJob j) -> j.state().over())
                        .thenComparing(j -> j.state() == JobState.ASKED)
                        .thenComparing(j -> !j.isPrioritized())
                        .thenComparing(j -> deadline(j))
                        .thenComparing(j -> -priority(j))
                        .thenComparing(MaintenanceJob::planToken)
                        .thenComparing(MaintenanceJob::number);
        return jobs.values().stream().sorted(order).toList();
    }

    private long deadline(MaintenanceJob job) {
        MaintenancePlan plan = plans.get(job.plan());
        return plan == null || plan.terms().deadline() == 0
                ? Long.MAX_VALUE
                : plan.terms().deadline();
    }

    private long priority(MaintenanceJob job) {
        MaintenancePlan plan = plans.get(job.plan());
        return plan == null ? 0 : plan.terms().priority();
    }

    /** The last job of a machine, null if it never had one. */
    public MaintenanceJob job(String machine) {
        return jobs.get(machine);
    }

    /** The unfinished job of an upstream's machine. */
    public Optional<MaintenanceJob> activeJobOfUpstream(String upstream) {
        return jobs.values().stream()
                .filter(j -> !j.state().over() && upstream.equals(j.spec().upstream()))
                .findFirst();
    }

    /** Why nothing more is taken out, null if maintenance is not halted. */
    public String haltReason() {
        return haltReason;
    }

    /** Plans that were refused, with the reason. */
    public Map<String, String> refusals() {
        return Map.copyOf(refusals);
    }

    /** Tokens of the complete plans, by name. */
    public Map<String, FencingToken> completePlans() {
        Map<String, FencingToken> complete = new TreeMap<>();
        plans.forEach(
                (name, plan) -> {
                    if (plan.isComplete()) {
                        complete.put(name, plan.completeToken());
                    }
                });
        return complete;
    }

    /** Whether a process is registered as a sender. */
    public boolean isRegistered(ProcessId process) {
        return senders.contains(process);
    }

    /** The latest plan that a process has reported to know, null for none. */
    public FencingToken knownPlan(ProcessId process) {
        return senders.knownPlan(process);
    }

    /** The senders that belong to the cluster. */
    public List<ProcessId> present() {
        return senders.present();
    }

    /** The senders that are unreachable, and may still send. */
    public List<ProcessId> gone() {
        return senders.gone();
    }

    /** Whether nothing that was permitted before the last bootstrap can be going on any more. */
    public boolean isSafe() {
        return view.epoch() > 0 && safeEpoch == view.epoch();
    }

    /** Whether a job is from before the last bootstrap, and its maintenance may be going on. */
    public boolean isDoubtful(MaintenanceJob job) {
        return !isSafe() && job.planToken().epoch() < view.epoch();
    }

    /** How many commands did not fit when they were applied. */
    public long ignored() {
        return ignoredCommands;
    }

    /** Why a machine can't be missing now, as operators see it; null if it can. */
    public String capacityViolation(MaintenanceJob job, List<String> failingUpstreams) {
        return CapacityRules.violation(job, jobs.values(), plans, failingUpstreams);
    }

    /** Senders that have to report that nothing of theirs is in flight, before a permit. */
    List<ProcessId> sendersToDrain() {
        return present();
    }

    /** Why a machine that is draining can't be missing after all; null if it can. */
    String permitViolation(MaintenanceJob job, List<String> failingUpstreams) {
        return capacityViolation(job, failingUpstreams);
    }

    /**
     * The unreachable senders that may still send to a machine: they have not reported to keep
     * away, and either do not know its plan, or may fall back on it without a lease.
     */
    public List<ProcessId> sendersWithFallback(MaintenanceJob job) {
        return gone().stream()
                .filter(sender -> !job.drainedSenders().contains(sender))
                .filter(sender -> job.isReserved() || !knowsPlanOf(sender, job))
                .toList();
    }

    private boolean knowsPlanOf(ProcessId sender, MaintenanceJob job) {
        FencingToken known = senders.knownPlan(sender);
        return known != null && known.compareTo(job.planToken()) >= 0;
    }

    @Override
    public void apply(FencingToken token, ProcessId proposer, byte[] bytes) {
        MaintenanceCommand command;
        try {
            command = MaintenanceCommand.read(bytes);
        } catch (IOException e) {
            // Of a later version, for example; processes that understand it now differ from this.
            ignoredCommands++;
            return;
        }
        if (!apply(token, proposer, command)) {
            ignoredCommands++;
        }
        dropAbandonedPlans();
    }

    /** Applies a command; false if it did not fit and has changed nothing. */
    private boolean apply(FencingToken token, ProcessId proposer, MaintenanceCommand command) {
        return switch (command.kind()) {
            case REGISTER -> senders.register(proposer);
            case GONE -> senders.markGone(command.name(), command.text(), view);
            case ENDED -> senders.removeGone(command.name());
            case SAFE -> markSafe(command.at());
            case PLAN -> startPlan(token, proposer, command.name(), command.terms());
            case PART -> addMachine(token, command.name(), command.part());
            case KNOW -> senders.setKnownPlan(proposer, command.token());
            case ORDER -> order(token, command);
            case CLEAR -> clear(proposer, command);
            case GRANT -> grant(token, command);
            case DONE -> move(command, JobState.WARMING, JobState.OUT, JobState.OVERDUE);
            case TAKEN_IN -> move(command, JobState.IN, JobState.WARMING);
            case FAIL -> fail(command);
            case OVERDUE -> move(command, JobState.OVERDUE, JobState.OUT);
            case HALT -> halt(command.text());
            case RESUME -> resume();
            case WITHDRAW -> withdraw(command);
            case FIRST -> prioritize(command.name());
        };
    }

    /** Drops incomplete plans whose proposer has gone: the other machines will not come. */
    private void dropAbandonedPlans() {
        for (Map.Entry<String, MaintenancePlan> entry : List.copyOf(plans.entrySet())) {
            MaintenancePlan plan = entry.getValue();
            if (!plan.isComplete() && !senders.isPresent(plan.proposer())) {
                jobs.values().removeAll(jobsOf(entry.getKey()));
                plans.remove(entry.getKey());
                refuse(
                        entry.getKey(),
                        "its "
                                + plan.terms().machines()
                                + " machines had not all come when "
                                + plan.proposer().name()
                                + ", which took it, went: hand it in again");
            }
        }
    }

    private boolean markSafe(long epoch) {
        if (epoch != view.epoch() || safeEpoch == view.epoch()) {
            return false;
        }
        safeEpoch = epoch;
        return true;
    }

    private boolean startPlan(
            FencingToken token, ProcessId proposer, String name, PlanTerms terms) {
        boolean isUnfinished =
                plans.containsKey(name)
                        && jobs.values().stream()
                                .anyMatch(j -> j.plan().equals(name) && !j.state().over());
        if (isUnfinished) {
            return refuse(name, "there is a plan of that name that is not over");
        }
        String impossible = terms.never();
        if (impossible != null) {
            return refuse(name, impossible);
        }
        refusals.remove(name);
        plans.put(name, new MaintenancePlan(terms, proposer, token, null));
        return true;
    }

    private boolean refuse(String plan, String reason) {
        refusals.remove(plan); // inserted again as the most recent one
        refusals.put(plan, reason);
        if (refusals.size() > MAX_REFUSALS) {
            refusals.remove(refusals.keySet().iterator().next());
        }
        return false;
    }

    /** Jobs of a plan, without those of an earlier plan of the same name. */
    private List<MaintenanceJob> jobsOf(String name) {
        MaintenancePlan plan = plans.get(name);
        return jobs.values().stream()
                .filter(j -> j.plan().equals(name))
                .filter(j -> j.planToken().compareTo(plan.startToken()) >= 0)
                .toList();
    }

    /** Adds a machine to a plan, or a refused job if another plan has it; the last completes it. */
    private boolean addMachine(FencingToken token, String planName, MachineSpec machine) {
        MaintenancePlan plan = plans.get(planName);
        if (plan == null || plan.isComplete()) {
            return false;
        }
        long number = jobsOf(planName).size();
        String refusal = machineConflict(machine);
        if (refusal == null) {
            jobs.remove(machine.machine()); // inserted again at the end
            jobs.put(machine.machine(), MaintenanceJob.of(machine, planName, token, number, null));
        } else {
            addRefusedJob(token, planName, machine, number, refusal);
        }
        if (number + 1 >= plan.terms().machines()) {
            completePlan(token, planName, plan);
        }
        return true;
    }

    private String machineConflict(MachineSpec machine) {
        MaintenanceJob existing = jobs.get(machine.machine());
        if (existing != null && !existing.state().over()) {
            return "plan " + existing.plan() + " has it already";
        }
        return machine.upstream() == null
                ? null
                : activeJobOfUpstream(machine.upstream())
                        .map(job -> "plan " + job.plan() + " has its upstream already")
                        .orElse(null);
    }

    /** Adds a job under a name of its own, so that the other plan's job can be seen as well. */
    private void addRefusedJob(
            FencingToken token, String planName, MachineSpec machine, long number, String refusal) {
        String name = machine.machine() + " (" + planName + ")";
        MachineSpec renamed =
                new MachineSpec(
                        name,
                        null,
                        null,
                        machine.zone(),
                        machine.kind(),
                        machine.cell(),
                        machine.seconds());
        jobs.put(name, MaintenanceJob.of(renamed, planName, token, number, refusal));
    }

    /**
     * Completes a plan and reserves its last machines. A process without a lease keeps away from
     * all but the reserved ones, so that half of all upstreams are left to it.
     */
    private void completePlan(FencingToken token, String name, MaintenancePlan plan) {
        plans.put(name, plan.complete(token));
        long all = plan.terms().all();
        long unreserved =
                jobs.values().stream()
                        .filter(j -> !j.state().over())
                        .filter(j -> !j.isReserved() && j.spec().upstream() != null)
                        .count();
        long toReserve = (all + 1) / 2 - (all - unreserved);
        List<MaintenanceJob> lastFirst = new ArrayList<>(jobsOf(name));
        Collections.reverse(lastFirst);
        for (MaintenanceJob job : lastFirst) {
            boolean isReserved =
                    toReserve > 0 && job.spec().upstream() != null && !job.state().over();
            toReserve -= isReserved ? 1 : 0;
            MaintenanceJob planned = job.planned(token);
            jobs.put(job.machine(), isReserved ? planned.reservedForFallback() : planned);
        }
    }

    private boolean order(FencingToken token, MaintenanceCommand command) {
        MaintenanceJob job = jobs.get(command.name());
        MaintenancePlan plan = job == null ? null : plans.get(job.plan());
        if (plan == null
                || !plan.isComplete()
                || job.state() != JobState.ASKED
                || haltReason != null
                || !isSafe()
                || capacityViolation(job, command.down()) != null
                || !sendersWithFallback(job).isEmpty()) {
            return false;
        }
        jobs.put(command.name(), job.drainingSince(token));
        return true;
    }

    private boolean clear(ProcessId proposer, MaintenanceCommand command) {
        MaintenanceJob job = jobs.get(command.name());
        if (!isDraining(job, command.token())) {
            return false;
        }
        jobs.put(command.name(), job.withDrainedSender(proposer));
        return true;
    }

    private static boolean isDraining(MaintenanceJob job, FencingToken order) {
        return job != null && job.state() == JobState.DRAINING && job.orderToken().equals(order);
    }

    /** Gives a permit. Since the order others may have failed, so capacity is checked again. */
    private boolean grant(FencingToken token, MaintenanceCommand command) {
        MaintenanceJob job = jobs.get(command.name());
        if (!isDraining(job, command.token())
                || !isSafe()
                || !job.drainedSenders().containsAll(sendersToDrain())
                || !sendersWithFallback(job).isEmpty()) {
            return false;
        }
        String reason =
                haltReason != null ? "halted: " + haltReason : permitViolation(job, command.down());
        MaintenanceJob next =
                reason == null
                        ? job.permitted(token, command.at())
                        : job.withState(JobState.ASKED, "put back: " + reason);
        jobs.put(command.name(), next);
        return reason == null;
    }

    /** Moves a job that has the permit with the command's token; an older permit is ignored. */
    private boolean move(MaintenanceCommand command, JobState to, JobState... from) {
        MaintenanceJob job = jobs.get(command.name());
        if (job == null
                || !List.of(from).contains(job.state())
                || !job.permit().equals(command.token())) {
            return false;
        }
        jobs.put(command.name(), job.withState(to, command.text()));
        forgetFinished();
        return true;
    }

    private boolean fail(MaintenanceCommand command) {
        return move(command, JobState.FAILED, JobState.WARMING, JobState.OUT, JobState.OVERDUE)
                && halt(command.name() + " came back bad: " + command.text());
    }

    private boolean halt(String reason) {
        if (haltReason != null) {
            return false;
        }
        haltReason = reason;
        return true;
    }

    /** Goes on; an operator has looked at the machines that failed, so they may serve again. */
    private boolean resume() {
        boolean wasHalted = haltReason != null;
        haltReason = null;
        jobs.replaceAll(
                (machine, job) ->
                        job.state() == JobState.FAILED
                                ? job.withState(JobState.IN, job.reason())
                                : job);
        return wasHalted;
    }

    /** Withdraws a machine, or all machines of a plan, whose maintenance has not begun. */
    private boolean withdraw(MaintenanceCommand command) {
        boolean isAnyWithdrawn = false;
        for (MaintenanceJob job : List.copyOf(jobs.values())) {
            boolean isNamed =
                    job.machine().equals(command.name()) || job.plan().equals(command.name());
            boolean canWithdraw = job.state() == JobState.ASKED || job.state() == JobState.DRAINING;
            if (isNamed && canWithdraw) {
                jobs.put(job.machine(), job.withState(JobState.WITHDRAWN, command.text()));
                isAnyWithdrawn = true;
            }
        }
        forgetFinished();
        return isAnyWithdrawn;
    }

    private boolean prioritize(String machine) {
        MaintenanceJob job = jobs.get(machine);
        if (job == null || job.state() != JobState.ASKED) {
            return false;
        }
        jobs.put(machine, job.prioritized());
        return true;
    }

    /** Removes the oldest finished jobs above the limit, and complete plans without a job. */
    private void forgetFinished() {
        long excess =
                jobs.values().stream().filter(j -> j.state().over()).count() - MAX_FINISHED_JOBS;
        for (MaintenanceJob job :
                excess > 0 ? List.copyOf(jobs.values()) : List.<MaintenanceJob>of()) {
            if (excess > 0 && job.state().over()) {
                jobs.remove(job.machine());
                excess--;
            }
        }
        plans.entrySet()
                .removeIf(entry -> entry.getValue().isComplete() && !hasJob(entry.getKey()));
    }

    private boolean hasJob(String plan) {
        return jobs.values().stream().anyMatch(job -> job.plan().equals(plan));
    }

    @Override
    public void view(View next) {
        senders.onView(view, next);
        view = next;
        dropAbandonedPlans();
    }

    @Override
    public byte[] snapshot() {
        return new MaintenanceSnapshot(
                        view,
                        safeEpoch,
                        haltReason,
                        ignoredCommands,
                        List.copyOf(jobs.values()),
                        plans,
                        senders.all(),
                        refusals)
                .encode();
    }

    @Override
    public void restore(byte[] bytes) {
        MaintenanceSnapshot snapshot;
        try {
            snapshot = MaintenanceSnapshot.decode(bytes);
        } catch (IOException e) {
            throw new IllegalStateException("a snapshot of ours can't be read", e);
        }
        view = snapshot.view();
        safeEpoch = snapshot.safeEpoch();
        haltReason = snapshot.haltReason();
        ignoredCommands = snapshot.ignoredCommands();
        jobs.clear();
        snapshot.jobs().forEach(job -> jobs.put(job.machine(), job));
        plans.clear();
        plans.putAll(snapshot.plans());
        senders.reset(snapshot.senders());
        refusals.clear();
        refusals.putAll(snapshot.refusals());
    }
}
