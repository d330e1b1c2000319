package myrtleladder.loadbalancer.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import myrtleladder.error.OperatorError.InvalidInput;
import myrtleladder.loadbalancer.policy.Upstream;
import myrtleladder.loadbalancer.policy.Upstream.State;
import myrtleladder.loadbalancer.settings.SettingsReader;

/** Parses events from JSON. Unknown fields and null fields are skipped. */
final class EventReader {
    /** Maximum number of load report values to read; the settings name no more than this. */
    private static final int MAX_LOAD_VALUES = 8;

    private static final Map<String, State> STATE_BY_NAME =
            Map.of("Ready", State.READY, "Terminating", State.DRAINING, "Gone", State.GONE);

    private EventReader() {}

    /**
     * Reads one event. The parser must be at its {@code START_OBJECT} token.
     *
     * @throws InvalidInput if a field is malformed
     * @throws IOException if the input is not valid JSON
     */
    static SimulatorEvent read(JsonParser json) throws InvalidInput, IOException {
        SimulatorEvent event = new SimulatorEvent();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (value == JsonToken.VALUE_NULL) {
                continue;
            }
            boolean isKnown =
                    readText(event, name, json)
                            || readFlag(event, name, value)
                            || readNumber(event, name, json)
                            || readNested(event, name, json, value);
            if (!isKnown) {
                json.skipChildren();
            }
        }
        return event;
    }

    private static boolean readText(SimulatorEvent event, String name, JsonParser json)
            throws IOException {
        switch (name) {
            case "kind" -> event.kind = json.getText();
            case "corr" -> event.requestId = json.getText();
            case "upstream" -> event.upstream = json.getText();
            case "entity" -> event.affinityKey = json.getText();
            case "ctx" -> event.timerToken = json.getText();
            case "form" -> event.endpointListForm = json.getText();
            case "body" -> event.peerMessage = json.getText();
            default -> {
                return false;
            }
        }
        return true;
    }

    private static boolean readFlag(SimulatorEvent event, String name, JsonToken value) {
        boolean isTrue = value == JsonToken.VALUE_TRUE;
        switch (name) {
            case "last" -> event.isConcluded = isTrue;
            case "is-write" -> event.isWrite = isTrue;
            case "is-retry" -> event.isRetry = isTrue;
            default -> {
                return false;
            }
        }
        return true;
    }

    private static boolean readNumber(SimulatorEvent event, String name, JsonParser json)
            throws InvalidInput, IOException {
        switch (name) {
            case "who" -> event.instance = requireNumber(json, name);
            case "attempt" -> event.attempt = requireNumber(json, name);
            case "ending" -> event.outcome = requireNumber(json, name);
            case "took-s" -> event.durationS = requireNumber(json, name);
            case "effort-s" -> event.expectedWorkS = requireNumber(json, name);
            case "time-budget-s" -> event.timeToDeadlineS = requireNumber(json, name);
            case "lane" -> event.classIndex = requireNumber(json, name);
            case "party" -> event.tenant = requireNumber(json, name);
            case "from" -> event.peer = requireNumber(json, name);
            case "init-seed" -> readSeed(event, name, json);
            default -> {
                return false;
            }
        }
        return true;
    }

    private static void readSeed(SimulatorEvent event, String name, JsonParser json)
            throws InvalidInput, IOException {
        event.seed = requireNumber(json, name);
        event.seedBits =
                json.currentToken() == JsonToken.VALUE_NUMBER_INT
                        ? json.getBigIntegerValue().longValue()
                        : (long) event.seed;
    }

    private static boolean readNested(
            SimulatorEvent event, String name, JsonParser json, JsonToken value)
            throws InvalidInput, IOException {
        if (name.equals("facts") && value == JsonToken.START_OBJECT) {
            event.settings = SettingsReader.read(json);
        } else if (name.equals("feedback") && value == JsonToken.START_ARRAY) {
            event.loadValues = readLoadValues(json);
        } else if (name.equals("elements") && value == JsonToken.START_ARRAY) {
            event.upstreams = readUpstreams(json);
        } else {
            return false;
        }
        return true;
    }

    private static double requireNumber(JsonParser json, String name)
            throws InvalidInput, IOException {
        if (!json.currentToken().isNumeric()) {
            throw new InvalidInput("field " + name + " is not a number");
        }
        return json.getDoubleValue();
    }

    /** Reads load report values; a value that is not a number becomes NaN. */
    private static double[] readLoadValues(JsonParser json) throws IOException {
        double[] values = new double[MAX_LOAD_VALUES];
        int count = 0;
        for (JsonToken token = json.nextToken();
                token != null && token != JsonToken.END_ARRAY;
                token = json.nextToken()) {
            if (count < values.length) {
                values[count++] = token.isNumeric() ? json.getDoubleValue() : Double.NaN;
            }
            json.skipChildren();
        }
        return Arrays.copyOf(values, count);
    }

    private static List<Upstream> readUpstreams(JsonParser json) throws InvalidInput, IOException {
        List<Upstream> upstreams = new ArrayList<>();
        while (json.nextToken() == JsonToken.START_OBJECT) {
            upstreams.add(readUpstream(json));
        }
        return upstreams;
    }

    private static Upstream readUpstream(JsonParser json) throws InvalidInput, IOException {
        String id = null;
        int zone = 0;
        int kind = 0;
        int cell = 0;
        State state = null;
        double rating = 1;
        double startedS = 0;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            if (json.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "upstream" -> id = json.getText();
                case "failure-domain" -> zone = (int) requireNumber(json, name);
                case "type" -> kind = (int) requireNumber(json, name);
                case "block" -> cell = (int) requireNumber(json, name);
                case "readiness" -> state = STATE_BY_NAME.get(json.getText());
                case "rating" -> rating = requireNumber(json, name);
                case "launched-s" -> startedS = requireNumber(json, name);
                default -> json.skipChildren();
            }
        }
        require(id != null, "upstream (in elements)");
        require(state != null, "readiness (in elements)");
        long startedUs = SettingsReader.toMicros(startedS);
        return new Upstream(id, zone, kind, cell, state, rating, startedUs);
    }

    /**
     * Checks a condition on a field.
     *
     * @throws InvalidInput naming the field, if {@code isValid} is false
     */
    static void require(boolean isValid, String field) throws InvalidInput {
        if (!isValid) {
            throw new InvalidInput("field " + field + " is missing or not understood");
        }
    }
}
