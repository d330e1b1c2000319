package myrtleladder.maintenance;

import java.util.Map;

/**
 * What holds for all machines of a plan.
 *
 * @param machines how many it has
 * @param atOnce so many machines may be missing at once, whatever else is missing counted
 * @param perZone the same within a zone
 * @param apart what no two that are missing may have in common
 * @param keepPercent so much of all upstreams has to go on serving
 * @param all upstreams of the fleet when it was handed in
 * @param priority the greater goes first among plans with one deadline
 * @param deadline by when it is wanted, as Unix time in milliseconds; 0 for none
 */
public record PlanTerms(
        String plan,
        long machines,
        long atOnce,
        long perZone,
        Apart apart,
        long keepPercent,
        long all,
        long priority,
        long deadline) {
    private static final int WHOLE = 100;

    /** What two machines may not have in common while both are missing. */
    public enum Apart {
        NOTHING,
        CELL,
        KIND
    }

    /** So many upstreams may not serve at a time. */
    long sparable() {
        return all - (all * keepPercent + WHOLE - 1) / WHOLE;
    }

    /** Why no machine of it could ever go; null if one can. */
    public String never() {
        if (machines < 1) {
            return "names no machine";
        }
        if (atOnce < 1 || perZone < 1) {
            return "allows no machine to be out";
        }
        return sparable() < 1
                ? "keeps " + keepPercent + "% of " + all + " upstreams, which leaves none to spare"
                : null;
    }

    Map<String, Object> toMap() {
        return JsonMaps.map(
                "plan",
                plan,
                "machines",
                machines,
                "atOnce",
                atOnce,
                "perZone",
                perZone,
                "apart",
                apart.name(),
                "keep",
                keepPercent,
                "all",
                all,
                "priority",
                priority,
                "deadline",
                deadline);
    }

    static PlanTerms of(Map<String, Object> map) {
        return new PlanTerms(
                JsonMaps.text(map, "plan"),
                JsonMaps.number(map, "machines"),
                JsonMaps.number(map, "atOnce"),
                JsonMaps.number(map, "perZone"),
                Apart.valueOf(JsonMaps.text(map, "apart")),
                JsonMaps.number(map, "keep"),
                JsonMaps.number(map, "all"),
                JsonMaps.number(map, "priority"),
                JsonMaps.number(map, "deadline"));
    }
}
