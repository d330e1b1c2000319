package myrtleladder.loadbalancer.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.error.OperatorError.BadInput;
import myrtleladder.loadbalancer.policy.Balancer.Effect;
import myrtleladder.loadbalancer.policy.Balancer.Limits;
import myrtleladder.loadbalancer.policy.Balancer.Prices;
import myrtleladder.loadbalancer.policy.Balancer.Ratings;
import myrtleladder.loadbalancer.policy.Balancer.Reports;
import myrtleladder.loadbalancer.policy.Balancer.RequestClass;
import myrtleladder.loadbalancer.policy.Balancer.RuleFigures;
import myrtleladder.loadbalancer.policy.Balancer.Scope;
import myrtleladder.loadbalancer.policy.Balancer.Settings;
import myrtleladder.loadbalancer.policy.Balancer.Tenant;

/** Reads the settings that an instance is created with. Keys it does not know are skipped. */
public final class SettingsReader {
    /** The values of a load report, in the order of the fields of the module's record. */
    public static final List<String> REPORTED =
            List.of("cpu", "active", "waiting", "avg_ms", "rps", "err_rps");

    private static final Map<String, Effect> EFFECTS =
            Map.of("free", Effect.SAFE, "guarded", Effect.KEYED, "single_shot", Effect.UNSAFE);
    private static final Map<String, Scope> SCOPES =
            Map.of("all", Scope.ALL, "zone", Scope.ZONE, "cell", Scope.CELL);
    private static final Map<String, Reports> VIA =
            Map.of(
                    "piggyback",
                    Reports.IN_ANSWERS,
                    "pull",
                    Reports.BY_PROBE,
                    "silent",
                    Reports.NONE);
    private static final Map<String, Ratings> WEIGHTS =
            Map.of(
                    "silent",
                    Ratings.NONE,
                    "nominal",
                    Ratings.NOMINAL,
                    "rough",
                    Ratings.ROUGH,
                    "live",
                    Ratings.LIVE);

    private SettingsReader() {}

    /**
     * What was found: the settings for the module, and names. The wire gives classes, tenants,
     * zones and kinds by their place in these lists, the sockets by name.
     */
    public record ParsedSettings(
            Settings settings,
            List<String> reportNames,
            List<String> classes,
            List<String> tenants,
            List<String> zones,
            List<String> kinds) {}

    /**
     * One object of the settings, flat: numbers and bools as numbers, texts, and lists of objects.
     */
    private static final class Node {
        final Map<String, Double> numbers = new HashMap<>();
        final Map<String, String> texts = new HashMap<>();
        final Map<String, Node> objects = new HashMap<>();
        final Map<String, List<Node>> lists = new HashMap<>();

        double number(String name, double otherwise) {
            return numbers.getOrDefault(name, otherwise);
        }

        long time(String name) {
            return micros(number(name, 0));
        }

        boolean flag(String name) {
            return number(name, 0) != 0;
        }

        Node object(String name) {
            return objects.getOrDefault(name, new Node());
        }

        List<Node> list(String name) {
            return lists.getOrDefault(name, List.of());
        }

        <T> T choice(String name, Map<String, T> values, T otherwise) throws BadInput {
            String text = texts.get(name);
            if (text == null) {
                return otherwise;
            }
            if (!values.containsKey(text)) {
                throw new BadInput("setting " + name + " has the unknown value " + text);
            }
            return values.get(text);
        }
    }

    /** Reads one object of settings; the parser stands at its start. */
    public static ParsedSettings read(JsonParser json) throws BadInput, IOException {
        Node facts = node(json);
        List<RequestClass> classes = new ArrayList<>();
        for (Node c : facts.list("classes")) {
            classes.add(
                    new RequestClass(
                            c.time("aim-s"),
                            c.number("aim-stretch", 0),
                            c.time("give-up-s"),
                            c.number("worth", 1),
                            c.number("late-worth", 0),
                            c.choice("repeat", EFFECTS, Effect.UNSAFE),
                            c.choice("dedup-scope", SCOPES, Scope.CELL),
                            c.time("memory-span-s"),
                            c.flag("stream")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Node t : facts.list("parties")) {
            tenants.add(new Tenant(t.number("allowance-per-s", 0), t.number("share", 0)));
        }
        Node report = facts.object("report");
        Settings settings =
                new Settings(
                        (int) facts.number("az", 0),
                        Math.max(1, facts.list("localities").size()),
                        (int) facts.number("position", 0),
                        (int) facts.number("group-size", 1),
                        classes,
                        tenants,
                        facts.number("over-share-worth", 1),
                        "work".equals(facts.texts.get("counted-by")),
                        limits(facts.object("ceilings")),
                        rules(facts.object("rules")),
                        prices(facts.object("prices")),
                        report.choice("via", VIA, Reports.NONE),
                        facts.choice("weights", WEIGHTS, Ratings.NONE),
                        "on_request".equals(facts.texts.get("discovery")),
                        facts.object("extra").flag("warm-keys"),
                        facts.time("tick-s"));
        return new ParsedSettings(
                settings,
                names(report.list("names"), ""),
                names(facts.list("classes"), "name"),
                names(facts.list("parties"), "name"),
                names(facts.list("localities"), ""),
                names(facts.list("kinds"), ""));
    }

    private static List<String> names(List<Node> nodes, String field) {
        return nodes.stream().map(n -> n.texts.getOrDefault(field, "")).toList();
    }

    private static Limits limits(Node n) {
        return new Limits(
                (int) n.number("try-limit", 1),
                n.flag("may-duplicate"),
                n.flag("probes"),
                n.flag("cancel"),
                n.flag("peers"),
                (int) n.number("max-open", 0),
                n.flag("retry-after"),
                n.time("max-retry-after-s"),
                n.time("connect-timeout-s"),
                n.time("conn-idle-s"),
                (int) n.number("multiplex", 1));
    }

    private static RuleFigures rules(Node n) {
        return new RuleFigures(
                n.time("answer-slack-s"),
                n.time("ask-within-s"),
                n.number("start-capacity", 1),
                n.time("cold-s"),
                n.time("drain-grace-s"),
                n.number("fall-multiple", 1),
                n.time("fall-s"));
    }

    private static Prices prices(Node n) {
        return new Prices(
                n.number("cross-zone", 0),
                n.number("waste", 0),
                n.number("probe", 0),
                n.number("peer", 0),
                n.number("late-fail", 0),
                n.number("handshake", 0));
    }

    private static Node node(JsonParser json) throws IOException {
        Node node = new Node();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (value == JsonToken.START_ARRAY) {
                node.lists.put(name, nodes(json));
            } else {
                value(node, name, json, value);
            }
        }
        return node;
    }

    private static List<Node> nodes(JsonParser json) throws IOException {
        List<Node> list = new ArrayList<>();
        for (JsonToken t = json.nextToken();
                t != null && t != JsonToken.END_ARRAY;
                t = json.nextToken()) {
            if (t == JsonToken.START_OBJECT) {
                list.add(node(json));
            } else if (t == JsonToken.START_ARRAY) {
                json.skipChildren();
            } else {
                Node scalar = new Node();
                value(scalar, "", json, t);
                list.add(scalar);
            }
        }
        return list;
    }

    private static void value(Node node, String name, JsonParser json, JsonToken value)
            throws IOException {
        switch (value) {
            case START_OBJECT -> node.objects.put(name, node(json));
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
                    node.numbers.put(name, json.getDoubleValue());
            case VALUE_TRUE -> node.numbers.put(name, 1.0);
            case VALUE_FALSE -> node.numbers.put(name, 0.0);
            case VALUE_STRING -> node.texts.put(name, json.getText());
            default -> {}
        }
    }

    /** Microseconds of a time in seconds, rounded; 0 for one that is not a number. */
    public static long micros(double seconds) {
        return Math.round(seconds * 1e6);
    }
}
