package myrtleladder.maintenance;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.consensus.FencingToken;
import myrtleladder.consensus.ProcessId;

/**
 * The maintenance of one machine of a plan.
 *
 * @param planToken of the command that added it, then of the one that completed its plan
 * @param number its place in the plan, from 0
 * @param isReserved whether a process without a lease may still send to it
 * @param isPrioritized whether operators want it before the others
 * @param orderToken of the command that made it its turn, null before
 * @param permit token of the permit, null before
 * @param untilMs when the maintenance is to be done, in milliseconds since the Unix epoch
 * @param drainedSenders who has reported, since the order, to have nothing in flight there
 * @param reason for people, null for none
 */
public record MaintenanceJob(
        MachineSpec spec,
        String plan,
        FencingToken planToken,
        long number,
        boolean isReserved,
        boolean isPrioritized,
        JobState state,
        FencingToken orderToken,
        FencingToken permit,
        long untilMs,
        Set<ProcessId> drainedSenders,
        String reason) {
    /** A new job; refused if there is a reason for that, null for none. */
    static MaintenanceJob of(
            MachineSpec spec, String plan, FencingToken planToken, long number, String refusal) {
        return new MaintenanceJob(
                spec,
                plan,
                planToken,
                number,
                false,
                false,
                refusal == null ? JobState.ASKED : JobState.REFUSED,
                null,
                null,
                0,
                Set.of(),
                refusal);
    }

    /** Name of the machine. */
    public String machine() {
        return spec.machine();
    }

    /** This job at the completion of its plan. */
    MaintenanceJob planned(FencingToken token) {
        return new MaintenanceJob(
                spec,
                plan,
                token,
                number,
                false,
                false,
                state,
                null,
                null,
                0,
                drainedSenders,
                reason);
    }

    MaintenanceJob reservedForFallback() {
        return new MaintenanceJob(
                spec,
                plan,
                planToken,
                number,
                true,
                isPrioritized,
                state,
                orderToken,
                permit,
                untilMs,
                drainedSenders,
                reason);
    }

    MaintenanceJob prioritized() {
        return new MaintenanceJob(
                spec,
                plan,
                planToken,
                number,
                isReserved,
                true,
                state,
                orderToken,
                permit,
                untilMs,
                drainedSenders,
                reason);
    }

    MaintenanceJob withState(JobState next, String nextReason) {
        return new MaintenanceJob(
                spec,
                plan,
                planToken,
                number,
                isReserved,
                isPrioritized,
                next,
                orderToken,
                permit,
                untilMs,
                drainedSenders,
                nextReason);
    }

    /** It is its turn; no sender has reported yet. */
    MaintenanceJob drainingSince(FencingToken order) {
        return new MaintenanceJob(
                spec,
                plan,
                planToken,
                number,
                isReserved,
                isPrioritized,
                JobState.DRAINING,
                order,
                null,
                0,
                Set.of(),
                null);
    }

    MaintenanceJob withDrainedSender(ProcessId sender) {
        Set<ProcessId> all = new HashSet<>(drainedSenders);
        all.add(sender);
        return new MaintenanceJob(
                spec,
                plan,
                planToken,
                number,
                isReserved,
                isPrioritized,
                state,
                orderToken,
                permit,
                untilMs,
                Set.copyOf(all),
                reason);
    }

    MaintenanceJob permitted(FencingToken token, long newUntilMs) {
        return new MaintenanceJob(
                spec,
                plan,
                planToken,
                number,
                isReserved,
                isPrioritized,
                JobState.OUT,
                orderToken,
                token,
                newUntilMs,
                drainedSenders,
                null);
    }

    /** The form in snapshots. */
    Map<String, Object> toMap() {
        return JsonMaps.map(
                "part",
                spec.toMap(),
                "plan",
                plan,
                "asked",
                token(planToken),
                "number",
                number,
                "reserved",
                isReserved,
                "first",
                isPrioritized,
                "state",
                state.name(),
                "ordered",
                token(orderToken),
                "permit",
                token(permit),
                "until",
                untilMs,
                "clear",
                lives(drainedSenders),
                "why",
                reason);
    }

    /** Reads what {@link #toMap()} has written. */
    static MaintenanceJob of(Map<String, Object> map) {
        return new MaintenanceJob(
                MachineSpec.of(JsonMaps.object(map, "part")),
                JsonMaps.text(map, "plan"),
                token(map, "asked"),
                JsonMaps.number(map, "number"),
                (Boolean) map.get("reserved"),
                (Boolean) map.get("first"),
                JobState.valueOf(JsonMaps.text(map, "state")),
                token(map, "ordered"),
                token(map, "permit"),
                JsonMaps.number(map, "until"),
                Set.copyOf(lives(JsonMaps.list(map, "clear"))),
                JsonMaps.text(map, "why"));
    }

    /** In an order of their own, so that equal states have equal bytes. */
    static List<Map<String, Object>> lives(Collection<ProcessId> processes) {
        return processes.stream()
                .sorted(Comparator.comparing(ProcessId::name).thenComparing(ProcessId::startId))
                .map(p -> JsonMaps.map("name", p.name(), "life", p.startId()))
                .toList();
    }

    static List<ProcessId> lives(List<Map<String, Object>> maps) {
        return maps.stream()
                .map(m -> new ProcessId(JsonMaps.text(m, "name"), JsonMaps.number(m, "life")))
                .toList();
    }

    static List<Object> token(FencingToken token) {
        return token == null ? null : List.of(token.epoch(), token.index());
    }

    static FencingToken token(Map<String, Object> map, String name) {
        return map.get(name) instanceof List<?> two
                ? new FencingToken((Long) two.get(0), (Long) two.get(1))
                : null;
    }
}
