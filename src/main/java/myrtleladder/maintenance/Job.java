package myrtleladder.maintenance;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.consensus.Life;
import myrtleladder.consensus.Token;

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
public record Job(
        Part part,
        String plan,
        Token asked,
        long number,
        boolean reserved,
        boolean first,
        State state,
        Token ordered,
        Token permit,
        long until,
        Set<Life> clear,
        String why) {
    static Job of(Part part, String plan, Token asked, long number, String refused) {
        return new Job(
                part,
                plan,
                asked,
                number,
                false,
                false,
                refused == null ? State.ASKED : State.REFUSED,
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

    Job reserve() {
        return new Job(
                part, plan, asked, number, true, first, state, ordered, permit, until, clear, why);
    }

    Job before() {
        return new Job(
                part, plan, asked, number, reserved, true, state, ordered, permit, until, clear,
                why);
    }

    Job now(State next, String reason) {
        return new Job(
                part, plan, asked, number, reserved, first, next, ordered, permit, until, clear,
                reason);
    }

    Job order(Token order) {
        return new Job(
                part,
                plan,
                asked,
                number,
                reserved,
                first,
                State.DRAINING,
                order,
                null,
                0,
                Set.of(),
                null);
    }

    Job cleared(Life by) {
        Set<Life> all = new HashSet<>(clear);
        all.add(by);
        return new Job(
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

    Job permit(Token token, long millis) {
        return new Job(
                part, plan, asked, number, reserved, first, State.OUT, ordered, token, millis,
                clear, null);
    }

    Map<String, Object> toMap() {
        return Json.map(
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

    static Job of(Map<String, Object> map) {
        return new Job(
                Part.of(Json.object(map, "part")),
                Json.text(map, "plan"),
                token(map, "asked"),
                Json.number(map, "number"),
                (Boolean) map.get("reserved"),
                (Boolean) map.get("first"),
                State.valueOf(Json.text(map, "state")),
                token(map, "ordered"),
                token(map, "permit"),
                Json.number(map, "until"),
                Set.copyOf(lives(Json.list(map, "clear"))),
                Json.text(map, "why"));
    }

    /** In an order of its own: the same agenda has the same bytes. */
    static List<Map<String, Object>> lives(Collection<Life> lives) {
        return lives.stream()
                .sorted(Comparator.comparing(Life::name).thenComparing(Life::life))
                .map(l -> Json.map("name", l.name(), "life", l.life()))
                .toList();
    }

    static List<Life> lives(List<Map<String, Object>> maps) {
        return maps.stream()
                .map(m -> new Life(Json.text(m, "name"), Json.number(m, "life")))
                .toList();
    }

    static List<Object> token(Token token) {
        return token == null ? null : List.of(token.epoch(), token.index());
    }

    static Token token(Map<String, Object> map, String name) {
        return map.get(name) instanceof List<?> two
                ? new Token((Long) two.get(0), (Long) two.get(1))
                : null;
    }
}
