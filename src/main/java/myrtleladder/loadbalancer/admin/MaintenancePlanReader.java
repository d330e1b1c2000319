package myrtleladder.loadbalancer.admin;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import myrtleladder.cluster.LoadBalancerControl.Upstream;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.InvalidPlan;
import myrtleladder.error.OperatorError.UnknownMachine;
import myrtleladder.maintenance.MachineSpec;
import myrtleladder.maintenance.OperatorCommand;
import myrtleladder.maintenance.PlanTerms;

/** Checks a maintenance plan as operators write it and makes the commands that enter it. */
final class MaintenancePlanReader {
    /** Characters of a name; as many as the datagrams of the fleet allow. */
    private static final int MAX_NAME_LENGTH = 64;

    /** Bounds the commands of one plan. */
    private static final int MAX_MACHINES = 1_000;

    private static final int MAX_PERCENT = 100;

    /** Machines of a plan that are out at the same time. */
    private static final int DEFAULT_AT_ONCE = 1;

    /** Share of the upstreams that stays in service. */
    private static final int DEFAULT_KEEP_PERCENT = 50;

    private static final int DEFAULT_PRIORITY = 0;

    /** In place of the Unix time of a deadline. */
    private static final long NO_DEADLINE = 0;

    private final List<Upstream> upstreams;
    private final long longestWorkS;

    /**
     * A plan as operators write it; what may be left out is null.
     *
     * @param deadline an instant as of ISO 8601
     */
    record PlanRequest(
            @JsonProperty(required = true) String name,
            @JsonProperty("at-once") Integer atOnce,
            @JsonProperty("per-zone") Integer perZone,
            PlanTerms.Apart apart,
            @JsonProperty("keep-percent") Integer keepPercent,
            Integer priority,
            String deadline,
            @JsonProperty(value = "machine", required = true) List<MachineRequest> machines) {}

    /**
     * One machine of a plan.
     *
     * @param name null for that of the upstream or, without one, of the member
     * @param upstream that runs on the machine, null if none does
     * @param member of the fleet that runs on the machine, null if none does
     * @param seconds that the work takes at most
     */
    record MachineRequest(
            String name,
            String upstream,
            String member,
            @JsonProperty(required = true) Long seconds) {}

    /**
     * Reads plans.
     *
     * @param upstreams that discovery has reported
     * @param longestWorkS seconds that the work on a machine may take
     */
    MaintenancePlanReader(List<Upstream> upstreams, long longestWorkS) {
        this.upstreams = upstreams;
        this.longestWorkS = longestWorkS;
    }

    List<OperatorCommand> read(PlanRequest request) throws OperatorError {
        List<MachineSpec> machines = machines(request.machines());
        int keepPercent = orDefault(request.keepPercent(), DEFAULT_KEEP_PERCENT);
        if (machines.size() > MAX_MACHINES) {
            throw new InvalidPlan("machine", "is not within 0 and " + MAX_MACHINES);
        }
        if (keepPercent < 0 || keepPercent > MAX_PERCENT) {
            throw new InvalidPlan("keep-percent", "is not within 0 and " + MAX_PERCENT);
        }
        int atOnce = orDefault(request.atOnce(), DEFAULT_AT_ONCE);
        PlanTerms terms =
                new PlanTerms(
                        request.name(),
                        machines.size(),
                        atOnce,
                        orDefault(request.perZone(), atOnce),
                        request.apart() == null ? PlanTerms.Apart.NOTHING : request.apart(),
                        keepPercent,
                        upstreams.size(),
                        orDefault(request.priority(), DEFAULT_PRIORITY),
                        deadlineMs(request.deadline()));
        if (terms.never() != null) {
            throw new InvalidPlan(request.name(), terms.never());
        }
        return OperatorCommand.plan(terms, machines);
    }

    private List<MachineSpec> machines(List<MachineRequest> requests) throws OperatorError {
        List<MachineSpec> machines = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (MachineRequest request : requests) {
            MachineSpec machine = machine(request);
            if (!names.add(machine.machine())) {
                throw new InvalidPlan("machine", machine.machine() + " is named twice");
            }
            machines.add(machine);
        }
        return machines;
    }

    private MachineSpec machine(MachineRequest request) throws OperatorError {
        String name = requireName("machine", nameOf(request));
        if (request.seconds() < 1 || request.seconds() > longestWorkS) {
            throw new InvalidPlan(
                    name + ".seconds",
                    request.seconds()
                            + " is not within 1 and "
                            + longestWorkS
                            + " (fleet.longest-work-s)");
        }
        if (request.upstream() == null) {
            String member = requireName("member", request.member());
            return new MachineSpec(name, null, member, 0, 0, 0, request.seconds());
        }
        Upstream upstream = upstream(request.upstream());
        return new MachineSpec(
                name,
                request.upstream(),
                request.member(),
                upstream.zone().hashCode(),
                upstream.kind().hashCode(),
                upstream.cell(),
                request.seconds());
    }

    private static String nameOf(MachineRequest request) {
        if (request.name() != null) {
            return request.name();
        }
        return request.upstream() != null ? request.upstream() : request.member();
    }

    private Upstream upstream(String id) throws UnknownMachine {
        for (Upstream upstream : upstreams) {
            if (upstream.id().equals(id)) {
                return upstream;
            }
        }
        throw new UnknownMachine(id, "is not on discovery's list");
    }

    /** Checks a name that has to be there; returns it. */
    static String requireName(String field, String name) throws InvalidPlan {
        if (name == null || name.isBlank() || name.length() > MAX_NAME_LENGTH) {
            throw new InvalidPlan(field, "is missing or too long");
        }
        return name;
    }

    private static int orDefault(Integer value, int defaultValue) {
        return value == null ? defaultValue : value;
    }

    private static long deadlineMs(String text) throws InvalidPlan {
        if (text == null) {
            return NO_DEADLINE;
        }
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw new InvalidPlan("deadline", text + " is not a time as 2026-12-02T06:00:00Z");
        }
    }
}
