package myrtleladder.loadbalancer.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.error.OperatorError.InvalidInput;
import myrtleladder.loadbalancer.policy.CapacityRatingKind;
import myrtleladder.loadbalancer.policy.DeduplicationScope;
import myrtleladder.loadbalancer.policy.Idempotency;
import myrtleladder.loadbalancer.policy.Limits;
import myrtleladder.loadbalancer.policy.LoadReport;
import myrtleladder.loadbalancer.policy.LoadReportSource;
import myrtleladder.loadbalancer.policy.Prices;
import myrtleladder.loadbalancer.policy.RequestClass;
import myrtleladder.loadbalancer.policy.RuleParameters;
import myrtleladder.loadbalancer.policy.Settings;
import myrtleladder.loadbalancer.policy.Tenant;

/**
 * Parses the settings of an instance of the decision module from JSON. Unknown keys are ignored,
 * and a key that is missing or has a value of the wrong type gets its default. Thread-safe.
 */
public final class SettingsReader {
    /** Names of the load report values, in the field order of {@link LoadReport}. */
    public static final List<String> LOAD_REPORT_FIELDS =
            List.of("cpu", "active", "waiting", "avg_ms", "rps", "err_rps");

    private static final Map<String, Idempotency> IDEMPOTENCY_BY_NAME =
            Map.of(
                    "free",
                    Idempotency.IDEMPOTENT,
                    "guarded",
                    Idempotency.IDEMPOTENT_BY_KEY,
                    "single_shot",
                    Idempotency.NON_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPE_BY_NAME =
            Map.of(
                    "all",
                    DeduplicationScope.ALL,
                    "zone",
                    DeduplicationScope.ZONE,
                    "cell",
                    DeduplicationScope.CELL);
    private static final Map<String, LoadReportSource> LOAD_REPORT_SOURCE_BY_NAME =
            Map.of(
                    "piggyback",
                    LoadReportSource.RESPONSES,
                    "pull",
                    LoadReportSource.PROBES,
                    "silent",
                    LoadReportSource.NONE);
    private static final Map<String, CapacityRatingKind> CAPACITY_RATING_KIND_BY_NAME =
            Map.of(
                    "silent",
                    CapacityRatingKind.NONE,
                    "nominal",
                    CapacityRatingKind.NOMINAL,
                    "rough",
                    CapacityRatingKind.APPROXIMATE,
                    "live",
                    CapacityRatingKind.LIVE);

    private SettingsReader() {}

    /**
     * The settings of the decision module, and the names that occur in them. Request classes,
     * tenants, zones and machine kinds are identified by their name in HTTP headers and service
     * discovery, and by their index in these lists in the simulator's protocol and the decision
     * module. Immutable.
     *
     * @param balancer settings of the decision module
     * @param reportNames names of the values in the simulator's load reports, in their order
     * @param classes names of the request classes
     * @param tenants names of the tenants
     * @param zones names of the zones
     * @param kinds names of the machine kinds
     */
    public record ParsedSettings(
            Settings balancer,
            List<String> reportNames,
            List<String> classes,
            List<String> tenants,
            List<String> zones,
            List<String> kinds) {}

    /**
     * A JSON object, its fields grouped by type: numbers (booleans are stored as 0 and 1), strings,
     * objects, and lists of objects. A scalar in a list is stored as an object with a single field
     * named {@code ""}; a list in a list is skipped.
     */
    private static final class JsonObject {
        final Map<String, Double> numbers = new HashMap<>();
        final Map<String, String> strings = new HashMap<>();
        final Map<String, JsonObject> objects = new HashMap<>();
        final Map<String, List<JsonObject>> lists = new HashMap<>();

        double number(String name, double defaultValue) {
            return numbers.getOrDefault(name, defaultValue);
        }

        /** Converts a field in seconds to microseconds; returns 0 if the field is missing. */
        long timeUs(String name) {
            return toMicros(number(name, 0));
        }

        /** Returns false if the field is missing. */
        boolean flag(String name) {
            return number(name, 0) != 0;
        }

        /** Returns an empty object if the field is missing. */
        JsonObject object(String name) {
            return objects.getOrDefault(name, new JsonObject());
        }

        /** Returns an empty list if the field is missing. */
        List<JsonObject> list(String name) {
            return lists.getOrDefault(name, List.of());
        }

        /**
         * Looks up the value that a string field names; returns the default if the field is
         * missing.
         *
         * @throws InvalidInput if the string is not a key of {@code values}
         */
        <T> T choice(String name, Map<String, T> values, T defaultValue) throws InvalidInput {
            String text = strings.get(name);
            if (text == null) {
                return defaultValue;
            }
            if (!values.containsKey(text)) {
                throw new InvalidInput("setting " + name + " has the unknown value " + text);
            }
            return values.get(text);
        }
    }

    /**
     * Reads one settings object. The parser must be at its {@code START_OBJECT} token.
     *
     * @throws InvalidInput if a field that names an enum constant has an unknown value
     * @throws IOException if the input is not valid JSON
     */
    public static ParsedSettings read(JsonParser json) throws InvalidInput, IOException {
        JsonObject root = readObject(json);
        JsonObject report = root.object("report");
        Settings settings =
                new Settings(
                        (int) root.number("az", 0),
                        Math.max(1, root.list("localities").size()),
                        (int) root.number("position", 0),
                        (int) root.number("group-size", 1),
                        requestClasses(root.list("classes")),
                        tenants(root.list("parties")),
                        root.number("over-share-worth", 1),
                        "work".equals(root.strings.get("counted-by")),
                        limits(root.object("ceilings")),
                        rules(root.object("rules")),
                        prices(root.object("prices")),
                        report.choice("via", LOAD_REPORT_SOURCE_BY_NAME, LoadReportSource.NONE),
                        root.choice(
                                "weights", CAPACITY_RATING_KIND_BY_NAME, CapacityRatingKind.NONE),
                        "on_request".equals(root.strings.get("discovery")),
                        root.object("extra").flag("warm-keys"),
                        root.timeUs("tick-s"));
        return new ParsedSettings(
                settings,
                names(report.list("names"), ""),
                names(root.list("classes"), "name"),
                names(root.list("parties"), "name"),
                names(root.list("localities"), ""),
                names(root.list("kinds"), ""));
    }

    private static List<RequestClass> requestClasses(List<JsonObject> objects) throws InvalidInput {
        List<RequestClass> classes = new ArrayList<>();
        for (JsonObject object : objects) {
            classes.add(
                    new RequestClass(
                            object.timeUs("aim-s"),
                            object.number("aim-stretch", 0),
                            object.timeUs("give-up-s"),
                            object.number("worth", 1),
                            object.number("late-worth", 0),
                            object.choice(
                                    "repeat", IDEMPOTENCY_BY_NAME, Idempotency.NON_IDEMPOTENT),
                            object.choice(
                                    "dedup-scope",
                                    DEDUPLICATION_SCOPE_BY_NAME,
                                    DeduplicationScope.CELL),
                            object.timeUs("memory-span-s"),
                            object.flag("stream")));
        }
        return classes;
    }

    private static List<Tenant> tenants(List<JsonObject> objects) {
        List<Tenant> tenants = new ArrayList<>();
        for (JsonObject object : objects) {
            tenants.add(new Tenant(object.number("allowance-per-s", 0), object.number("share", 0)));
        }
        return tenants;
    }

    private static List<String> names(List<JsonObject> objects, String field) {
        return objects.stream().map(object -> object.strings.getOrDefault(field, "")).toList();
    }

    private static Limits limits(JsonObject object) {
        return new Limits(
                (int) object.number("try-limit", 1),
                object.flag("may-duplicate"),
                object.flag("probes"),
                object.flag("cancel"),
                object.flag("peers"),
                (int) object.number("max-open", 0),
                object.flag("retry-after"),
                object.timeUs("max-retry-after-s"),
                object.timeUs("connect-timeout-s"),
                object.timeUs("conn-idle-s"),
                (int) object.number("multiplex", 1));
    }

    private static RuleParameters rules(JsonObject object) {
        return new RuleParameters(
                object.timeUs("answer-slack-s"),
                object.timeUs("ask-within-s"),
                object.number("start-capacity", 1),
                object.timeUs("cold-s"),
                object.timeUs("drain-grace-s"),
                object.number("fall-multiple", 1),
                object.timeUs("fall-s"));
    }

    private static Prices prices(JsonObject object) {
        return new Prices(
                object.number("cross-zone", 0),
                object.number("waste", 0),
                object.number("probe", 0),
                object.number("peer", 0),
                object.number("late-fail", 0),
                object.number("handshake", 0));
    }

    private static JsonObject readObject(JsonParser json) throws IOException {
        JsonObject object = new JsonObject();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (value == JsonToken.START_ARRAY) {
                object.lists.put(name, readList(json));
            } else {
                readValue(object, name, json, value);
            }
        }
        return object;
    }

    private static List<JsonObject> readList(JsonParser json) throws IOException {
        List<JsonObject> list = new ArrayList<>();
        for (JsonToken token = json.nextToken();
                token != null && token != JsonToken.END_ARRAY;
                token = json.nextToken()) {
            if (token == JsonToken.START_OBJECT) {
                list.add(readObject(json));
            } else if (token == JsonToken.START_ARRAY) {
                json.skipChildren();
            } else {
                JsonObject scalar = new JsonObject();
                readValue(scalar, "", json, token);
                list.add(scalar);
            }
        }
        return list;
    }

    private static void readValue(JsonObject object, String name, JsonParser json, JsonToken value)
            throws IOException {
        switch (value) {
            case START_OBJECT -> object.objects.put(name, readObject(json));
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
                    object.numbers.put(name, json.getDoubleValue());
            case VALUE_TRUE -> object.numbers.put(name, 1.0);
            case VALUE_FALSE -> object.numbers.put(name, 0.0);
            case VALUE_STRING -> object.strings.put(name, json.getText());
            default -> {}
        }
    }

    /** Converts seconds to microseconds, rounded to the nearest; returns 0 for NaN. */
    public static long toMicros(double seconds) {
        return Math.round(seconds * 1e6);
    }

    /**
     * Creates a load report from values in the order of {@link #LOAD_REPORT_FIELDS}, one for each
     * field; a value that is not reported must be NaN. Converts the average service time from
     * milliseconds to microseconds.
     */
    public static LoadReport toLoadReport(double[] values) {
        return new LoadReport(
                values[0], values[1], values[2], values[3] * 1_000, values[4], values[5]);
    }
}
