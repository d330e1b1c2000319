package myrtleladder.loadbalancer.admin;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.util.concurrent.Future;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import myrtleladder.cluster.LoadBalancerControl;
import myrtleladder.cluster.MaintenanceRuntime;
import myrtleladder.cluster.MaintenanceStatus;
import myrtleladder.consensus.FencingToken;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.BadPlan;
import myrtleladder.error.OperatorError.NoMajority;
import myrtleladder.error.OperatorError.OldPermit;
import myrtleladder.error.OperatorError.PeerBusy;
import myrtleladder.error.OperatorError.UnknownMachine;
import myrtleladder.maintenance.JobState;
import myrtleladder.maintenance.MachineSpec;
import myrtleladder.maintenance.MaintenanceJob;
import myrtleladder.maintenance.OperatorCommand;
import myrtleladder.maintenance.PlanTerms;
import myrtleladder.toml.TomlFile;

/**
 * What operators and workers ask of the work on machines. All that is taken is to be decided yet:
 * whoever asks sees in {@code /work} what became of it.
 */
final class WorkDesk {
    private static final ObjectMapper JSON = JsonMapper.builder().build();
    private static final Path PLAN = Path.of("plan");
    private static final int LONGEST_NAME = 64;
    private static final int MOST_MACHINES = 1_000;
    private static final int WHOLE = 100;

    private final MaintenanceRuntime work;
    private final String process;
    private final long longestS;

    /** A plan as operators write it; what is left out has the usual value. */
    record PlanFile(
            @JsonProperty(required = true) String name,
            @JsonProperty("at-once") Integer atOnce,
            @JsonProperty("per-zone") Integer perZone,
            PlanTerms.Apart apart,
            @JsonProperty("keep-percent") Integer keepPercent,
            Integer priority,
            String deadline,
            @JsonProperty(value = "machine", required = true) List<MachinePart> machines) {}

    /** One machine; {@code name} is the upstream's or the member's if it is left out. */
    record MachinePart(
            String name,
            String upstream,
            String member,
            @JsonProperty(required = true) Long seconds) {}

    /** What is said of a machine, a plan or a process. */
    record Word(String machine, String plan, String process, String why, Long epoch, Long index) {}

    /**
     * Takes what is asked for at a process; no work may take longer than {@code longestS} seconds.
     */
    WorkDesk(MaintenanceRuntime work, String process, long longestS) {
        this.work = work;
        this.process = process;
        this.longestS = longestS;
    }

    /** What the process holds. */
    Future<MaintenanceStatus> look() {
        return work.look();
    }

    /** Takes what was posted; says how many steps are to be decided. */
    String post(String what, String body) throws OperatorError, JsonProcessingException {
        List<OperatorCommand> steps =
                switch (what) {
                    case "" -> plan(TomlFile.parse(PLAN, body, PlanFile.class));
                    case "done" -> done(word(body));
                    case "halt" -> List.of(OperatorCommand.halt(String.valueOf(word(body).why())));
                    case "resume" -> List.of(OperatorCommand.resume());
                    case "safe" -> List.of(OperatorCommand.safe(onLoop(work::epoch)));
                    case "withdraw" ->
                            List.of(OperatorCommand.withdraw(named(word(body)), word(body).why()));
                    case "first" -> List.of(OperatorCommand.first(named(word(body))));
                    case "ended" ->
                            List.of(OperatorCommand.ended(need("process", word(body).process())));
                    default ->
                            throw new BadPlan(
                                    "/work/" + what,
                                    "is none of done, halt, resume, safe, withdraw, "
                                            + "first, ended");
                };
        boolean taken =
                onLoop(
                        () -> {
                            if (work.decides()) {
                                work.propose(steps);
                            }
                            return work.decides();
                        });
        if (!taken) {
            throw new NoMajority(process);
        }
        return JSON.writeValueAsString(Map.of("steps", steps.size()));
    }

    private static Word word(String body) throws OperatorError {
        return TomlFile.parse(Path.of("body"), body, Word.class);
    }

    private static String named(Word word) throws BadPlan {
        return need("machine or plan", word.machine() == null ? word.plan() : word.machine());
    }

    private static String need(String field, String value) throws BadPlan {
        if (value == null || value.isBlank() || value.length() > LONGEST_NAME) {
            throw new BadPlan(field, "is missing or too long");
        }
        return value;
    }

    private <T> T onLoop(Callable<T> what) throws PeerBusy {
        T got = Admin.got(work.ask(what));
        if (got == null) {
            throw new PeerBusy(process, "the event loop is busy");
        }
        return got;
    }

    private List<OperatorCommand> done(Word word) throws OperatorError {
        String machine = need("machine", word.machine());
        if (word.epoch() == null || word.index() == null) {
            throw new BadPlan("epoch, index", "of the permit are missing");
        }
        FencingToken permit = new FencingToken(word.epoch(), word.index());
        MaintenanceJob[] job = onLoop(() -> new MaintenanceJob[] {work.job(machine)});
        if (job[0] == null) {
            throw new UnknownMachine(machine, "has no work on the agenda");
        }
        boolean goesOn = job[0].state() == JobState.OUT || job[0].state() == JobState.OVERDUE;
        if (!goesOn || !permit.equals(job[0].permit())) {
            throw new OldPermit(machine, "is " + job[0].state() + " by " + job[0].permit());
        }
        return List.of(OperatorCommand.done(machine, permit));
    }

    private List<OperatorCommand> plan(PlanFile file) throws OperatorError {
        need("name", file.name());
        List<LoadBalancerControl.Upstream> listed = onLoop(work::upstreams);
        List<MachineSpec> parts = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (MachinePart m : file.machines()) {
            MachineSpec part = part(m, listed);
            if (!names.add(part.machine())) {
                throw new BadPlan("machine", part.machine() + " is named twice");
            }
            parts.add(part);
        }
        int atOnce = or(file.atOnce(), 1);
        int keep = or(file.keepPercent(), WHOLE / 2);
        if (keep < 0 || keep > WHOLE || parts.size() > MOST_MACHINES) {
            throw new BadPlan(
                    parts.size() > MOST_MACHINES ? "machine" : "keep-percent",
                    "is not within 0 and "
                            + (parts.size() > MOST_MACHINES ? MOST_MACHINES : WHOLE));
        }
        PlanTerms terms =
                new PlanTerms(
                        file.name(),
                        parts.size(),
                        atOnce,
                        or(file.perZone(), atOnce),
                        file.apart() == null ? PlanTerms.Apart.NOTHING : file.apart(),
                        keep,
                        listed.size(),
                        or(file.priority(), 0),
                        deadline(file.deadline()));
        if (terms.never() != null) {
            throw new BadPlan(file.name(), terms.never());
        }
        return OperatorCommand.plan(terms, parts);
    }

    private MachineSpec part(MachinePart m, List<LoadBalancerControl.Upstream> listed)
            throws OperatorError {
        String machine =
                need(
                        "machine",
                        m.name() != null
                                ? m.name()
                                : m.upstream() != null ? m.upstream() : m.member());
        if (m.seconds() < 1 || m.seconds() > longestS) {
            throw new BadPlan(
                    machine + ".seconds",
                    m.seconds() + " is not within 1 and " + longestS + " (fleet.longest-work-s)");
        }
        if (m.upstream() == null) {
            return new MachineSpec(machine, null, need("member", m.member()), 0, 0, 0, m.seconds());
        }
        LoadBalancerControl.Upstream its =
                listed.stream()
                        .filter(u -> u.id().equals(m.upstream()))
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new UnknownMachine(
                                                m.upstream(), "is not on discovery's list"));
        return new MachineSpec(
                machine,
                m.upstream(),
                m.member(),
                its.zone().hashCode(),
                its.kind().hashCode(),
                its.cell(),
                m.seconds());
    }

    private static int or(Integer value, int otherwise) {
        return value == null ? otherwise : value;
    }

    private static long deadline(String text) throws BadPlan {
        try {
            return text == null ? 0 : Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw new BadPlan("deadline", text + " is not a time as 2026-12-02T06:00:00Z");
        }
    }
}
