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

/** Validates a maintenance plan of an operator and converts it to consensus commands. */
final class MaintenancePlanReader {
    /** Maximum characters of a name, as in the datagrams of the fleet. */
    private static final int MAX_NAME_LENGTH = 64;

    /** Maximum machines of a plan, which bounds the commands proposed for it. */
    private static final int MAX_MACHINES = 1_000;

    private static final int MAX_PERCENT = 100;

    /** Machines of a plan that may be out of service at the same time. */
    private static final int DEFAULT_AT_ONCE = 1;

    /** Percentage of the upstreams that has to stay in service. */
    private static final int DEFAULT_KEEP_PERCENT = 50;

    private static final int DEFAULT_PRIORITY = 0;

    /** Stands for no deadline, in place of its Unix time in milliseconds. */
    private static final long NO_DEADLINE_MS = 0;

    private final List<Upstream> upstreams;
    private final long longestWorkS;

    /**
     * A plan as operators write it; optional fields are null if left out.
     *
     * @param deadline an instant in ISO 8601
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
     * @param name of the machine; null for the name of the upstream or, without one, of the member
     * @param upstream ID of the upstream that runs on the machine; null if none does
     * @param member name of the fleet member that runs on the machine; null if none does
     * @param seconds maximum duration of the maintenance
     */
    record MachineRequest(
            String name,
            String upstream,
            String member,
            @JsonProperty(required = true) Long seconds) {}

    /**
     * Creates a reader.
     *
     * @param upstreams those that discovery has reported
     * @param longestWorkS maximum seconds for the maintenance of a machine
     */
    MaintenancePlanReader(List<Upstream> upstreams, long longestWorkS) {
        this.upstreams = upstreams;
        this.longestWorkS = longestWorkS;
    }

    /**
     * Validates a plan and returns the commands that add it.
     *
     * @throws OperatorError naming the invalid field or unknown upstream
     */
    List<OperatorCommand> read(PlanRequest request) throws OperatorError {
        List<MachineSpec> machines = machines(request.machines());
        int keepPercent = valueOrDefault(request.keepPercent(), DEFAULT_KEEP_PERCENT);
        if (machines.size() > MAX_MACHINES) {
            throw new InvalidPlan("machine", "is not within 0 and " + MAX_MACHINES);
        }
        if (keepPercent < 0 || keepPercent > MAX_PERCENT) {
            throw new InvalidPlan("keep-percent", "is not within 0 and " + MAX_PERCENT);
        }
        int atOnce = valueOrDefault(request.atOnce(), DEFAULT_AT_ONCE);
        PlanTerms terms =
                new PlanTerms(
                        request.name(),
                        machines.size(),
                        atOnce,
                        valueOrDefault(request.perZone(), atOnce),
                        request.apart() == null ? PlanTerms.Apart.NOTHING : request.apart(),
                        keepPercent,
                        upstreams.size(),
                        valueOrDefault(request.priority(), DEFAULT_PRIORITY),
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

    /** Returns a mandatory name, or throws if it is missing, blank or too long. */
    static String requireName(String field, String name) throws InvalidPlan {
        if (name == null || name.isBlank() || name.length() > MAX_NAME_LENGTH) {
            throw new InvalidPlan(field, "is missing or too long");
        }
        return name;
    }

    private static int valueOrDefault(Integer value, int defaultValue) {
        return value == null ? defaultValue : value;
    }

    private static long deadlineMs(String text) throws InvalidPlan {
        if (text == null) {
            return NO_DEADLINE_MS;
        }
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw new InvalidPlan("deadline", text + " is not a time as 2026-12-02T06:00:00Z");
        }
    }
}
