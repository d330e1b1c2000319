package myrtleladder.maintenance;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import myrtleladder.consensus.FencingToken;

/**
 * One step of the agenda as it goes into the log. What a step needs to know of the world stands in
 * it, so that all take it alike.
 *
 * @param name of a plan, machine or process, by kind
 * @param token of the order or permit that it is about, null where there is none
 * @param at a time as Unix time in milliseconds, by kind
 * @param text a reason for people
 * @param down machines that fail by themselves, for orders and permits
 */
record MaintenanceCommand(
        Kind kind,
        String name,
        FencingToken token,
        long at,
        String text,
        PlanTerms terms,
        MachineSpec part,
        List<String> down) {
    /** What is to happen. */
    enum Kind {
        /** The proposer may send to upstreams from now on. */
        REGISTER,
        /** A life that is not in the view has not been seen for long. */
        GONE,
        /** Operators say that the process of that name has ended. */
        ENDED,
        /** Nothing that was granted before the founding can be going on any more. */
        SAFE,
        /** A plan begins. */
        PLAN,
        /** One machine of it. */
        PART,
        /** The proposer knows the plan with this token. */
        KNOW,
        /** It is a machine's turn. */
        ORDER,
        /** The proposer sends nothing there any more. */
        CLEAR,
        /** The work may begin. */
        GRANT,
        /** The work is done. */
        DONE,
        /** The machine has proved itself. */
        TAKEN_IN,
        /** It has not. */
        FAIL,
        /** The work takes too long. */
        OVERDUE,
        /** Nothing more is taken out. */
        HALT,
        /** Things go on. */
        RESUME,
        /** A machine, or all that wait of a plan, are taken off the agenda. */
        WITHDRAW,
        /** A machine goes before the others. */
        FIRST
    }

    static MaintenanceCommand of(Kind kind, String name, FencingToken token) {
        return new MaintenanceCommand(kind, name, token, 0, null, null, null, List.of());
    }

    /** Nothing that was permitted before the bootstrap of an epoch can be going on any more. */
    static MaintenanceCommand safe(String proposer, long epoch) {
        return new MaintenanceCommand(
                Kind.SAFE, proposer, null, epoch, null, null, null, List.of());
    }

    MaintenanceCommand because(String why) {
        return new MaintenanceCommand(kind, name, token, at, why, terms, part, down);
    }

    MaintenanceCommand until(long millis) {
        return new MaintenanceCommand(kind, name, token, millis, text, terms, part, down);
    }

    MaintenanceCommand beside(List<String> itsDown) {
        return new MaintenanceCommand(
                kind, name, token, at, text, terms, part, List.copyOf(itsDown));
    }

    static MaintenanceCommand plan(PlanTerms terms) {
        return new MaintenanceCommand(
                Kind.PLAN, terms.plan(), null, 0, null, terms, null, List.of());
    }

    static MaintenanceCommand part(String plan, MachineSpec part) {
        return new MaintenanceCommand(Kind.PART, plan, null, 0, null, null, part, List.of());
    }

    byte[] write() {
        return JsonMaps.write(
                JsonMaps.map(
                        "do",
                        kind.name(),
                        "name",
                        name,
                        "epoch",
                        token == null ? null : token.epoch(),
                        "index",
                        token == null ? null : token.index(),
                        "at",
                        at == 0 ? null : at,
                        "text",
                        text,
                        "terms",
                        terms == null ? null : terms.toMap(),
                        "part",
                        part == null ? null : part.toMap(),
                        "down",
                        down.isEmpty() ? null : down));
    }

    @SuppressWarnings("unchecked") // a list of anything else is refused below
    static MaintenanceCommand read(byte[] bytes) throws IOException {
        Map<String, Object> map = JsonMaps.read(bytes);
        try {
            Map<String, Object> terms = JsonMaps.object(map, "terms");
            Map<String, Object> part = JsonMaps.object(map, "part");
            List<String> down = (List<String>) map.getOrDefault("down", List.of());
            FencingToken token =
                    map.containsKey("epoch")
                            ? new FencingToken(
                                    JsonMaps.number(map, "epoch"), JsonMaps.number(map, "index"))
                            : null;
            return new MaintenanceCommand(
                    Kind.valueOf(JsonMaps.text(map, "do")),
                    JsonMaps.text(map, "name"),
                    token,
                    JsonMaps.number(map, "at"),
                    JsonMaps.text(map, "text"),
                    terms == null ? null : PlanTerms.of(terms),
                    part == null ? null : MachineSpec.of(part),
                    down);
        } catch (ClassCastException | IllegalArgumentException | NullPointerException e) {
            throw new IOException("not a step of an agenda", e);
        }
    }
}
