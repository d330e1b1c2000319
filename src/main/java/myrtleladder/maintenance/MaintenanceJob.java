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
 * One machine on the agenda.
 *
 * @param asked the place of its plan among all decrees
 * @param number its place in the plan
 * @param reserved whether it is one that a process which is cut off may fall back on
 * @param first whether operators want it before the others
 * @param ordered the decree that made it its turn, null before
 * @param permit the decree by which its work may go on, null before
 * @param until by when the work is to be done, as Unix time in milliseconds
 * @param clear who has said to send nothing there any more, since it was ordered
 * @param why a reason for people, null for none
 */
public record MaintenanceJob(
        MachineSpec part,
        String plan,
        FencingToken asked,
        long number,
        boolean reserved,
        boolean first,
        JobState state,
        FencingToken ordered,
        FencingToken permit,
        long until,
        Set<ProcessId> clear,
        String why) {
    static MaintenanceJob of(
            MachineSpec part, String plan, FencingToken asked, long number, String refused) {
        return new MaintenanceJob(
                part,
                plan,
                asked,
                number,
                false,
                false,
                refused == null ? JobState.ASKED : JobState.REFUSED,
                null,
                null,
                0,
                Set.of(),
                refused);
    }

    /** Its name. */
    public String machine() {
        return part.machine();
    }

    /** This job at the completion of its plan. */
    MaintenanceJob planned(FencingToken token) {
        return new MaintenanceJob(
                part, plan, token, number, false, false, state, null, null, 0, clear, why);
    }

    MaintenanceJob reserve() {
        return new MaintenanceJob(
                part, plan, asked, number, true, first, state, ordered, permit, until, clear, why);
    }

    MaintenanceJob before() {
        return new MaintenanceJob(
                part, plan, asked, number, reserved, true, state, ordered, permit, until, clear,
                why);
    }

    MaintenanceJob now(JobState next, String reason) {
        return new MaintenanceJob(
                part, plan, asked, number, reserved, first, next, ordered, permit, until, clear,
                reason);
    }

    MaintenanceJob order(FencingToken order) {
        return new MaintenanceJob(
                part,
                plan,
                asked,
                number,
                reserved,
                first,
                JobState.DRAINING,
                order,
                null,
                0,
                Set.of(),
                null);
    }

    MaintenanceJob cleared(ProcessId by) {
        Set<ProcessId> all = new HashSet<>(clear);
        all.add(by);
        return new MaintenanceJob(
                part,
                plan,
                asked,
                number,
                reserved,
                first,
                state,
                ordered,
                permit,
                until,
                Set.copyOf(all),
                why);
    }

    MaintenanceJob permit(FencingToken token, long millis) {
        return new MaintenanceJob(
                part,
                plan,
                asked,
                number,
                reserved,
                first,
                JobState.OUT,
                ordered,
                token,
                millis,
                clear,
                null);
    }

    Map<String, Object> toMap() {
        return JsonMaps.map(
                "part",
                part.toMap(),
                "plan",
                plan,
                "asked",
                token(asked),
                "number",
                number,
                "reserved",
                reserved,
                "first",
                first,
                "state",
                state.name(),
                "ordered",
                token(ordered),
                "permit",
                token(permit),
                "until",
                until,
                "clear",
                lives(clear),
                "why",
                why);
    }

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

    /** In an order of its own: the same agenda has the same bytes. */
    static List<Map<String, Object>> lives(Collection<ProcessId> lives) {
        return lives.stream()
                .sorted(Comparator.comparing(ProcessId::name).thenComparing(ProcessId::startId))
                .map(l -> JsonMaps.map("name", l.name(), "life", l.startId()))
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
