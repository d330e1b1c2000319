package myrtleladder.loadbalancer.server;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import myrtleladder.error.OperatorError.InvalidInput;
import myrtleladder.loadbalancer.policy.Upstream;
import myrtleladder.loadbalancer.policy.Upstream.State;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * A list of endpoints, or changes of one, in the form that discovery has for it. Immutable.
 *
 * @param isFull whether endpoints that are missing are gone
 */
record EndpointList(long version, boolean isFull, List<Endpoint> endpoints) {
    static final EndpointList EMPTY = new EndpointList(0, true, List.of());

    private static final Map<String, State> STATES =
            Map.of("Ready", State.READY, "Terminating", State.DRAINING, "Gone", State.GONE);

    /** Keeps the indices of names that the settings lack positive; most are distinct by it. */
    private static final int UNKNOWN_NAME_MASK = 0xFFFFFF;

    /**
     * One endpoint as listed.
     *
     * @param address null for one that is gone
     * @param startedMs Unix time in milliseconds; 0 for long ago
     */
    record Endpoint(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            State state,
            double weight,
            long startedMs) {

        /**
         * The same for the decision module, whose clock is Unix time in microseconds that never
         * steps. An endpoint listed again thus has exactly the same start, and only a real restart
         * looks like one.
         */
        Upstream toModule(SettingsReader.ParsedSettings settings) {
            return new Upstream(
                    id,
                    index(settings.zones(), zone),
                    index(settings.kinds(), kind),
                    cell,
                    state,
                    weight,
                    startedMs * 1_000);
        }

        /**
         * A name that the settings lack gets an index of its own, so that two are not one group.
         */
        private static int index(List<String> names, String name) {
            int index = names.indexOf(name);
            return index >= 0 ? index : names.size() + (name.hashCode() & UNKNOWN_NAME_MASK);
        }
    }

    /**
     * Reads one list; the parser is at the start of its object.
     *
     * @throws BadInput if a field is missing or malformed
     * @throws IOException if it is not JSON
     */
    static EndpointList read(JsonParser json) throws InvalidInput, IOException {
        long version = -1;
        boolean isFull = false;
        List<Endpoint> endpoints = null;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            switch (name) {
                case "version" -> version = json.getLongValue();
                case "full" -> isFull = json.getBooleanValue();
                case "servers" -> {
                    require(value == JsonToken.START_ARRAY, name);
                    endpoints = new ArrayList<>();
                    while (json.nextToken() == JsonToken.START_OBJECT) {
                        endpoints.add(readEndpoint(json));
                    }
                }
                default -> json.skipChildren();
            }
        }
        require(json.currentToken() == JsonToken.END_OBJECT, "servers");
        require(version >= 0, "version");
        require(endpoints != null, "servers");
        return new EndpointList(version, isFull, endpoints);
    }

    private static Endpoint readEndpoint(JsonParser json) throws InvalidInput, IOException {
        String id = null;
        InetSocketAddress address = null;
        String zone = "";
        String kind = "";
        int cell = 0;
        State state = null;
        double weight = 1;
        long startedMs = 0;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            if (json.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "id" -> id = json.getText();
                case "addr" -> address = BalancerConfig.parseAddress(json.getText());
                case "zone" -> zone = json.getText();
                case "kind" -> kind = json.getText();
                case "cell" -> cell = json.getIntValue();
                case "state" -> state = STATES.get(json.getText());
                case "weight" -> weight = json.getDoubleValue();
                case "started_ms" -> startedMs = json.getLongValue();
                default -> json.skipChildren();
            }
        }
        require(id != null, "id");
        require(state != null, "state");
        require(address != null || state == State.GONE, "addr");
        return new Endpoint(id, address, zone, kind, cell, state, weight, startedMs);
    }

    /**
     * Checks a field.
     *
     * @throws BadInput with the name of the field, unless it is valid
     */
    static void require(boolean isValid, String field) throws InvalidInput {
        if (!isValid) {
            throw new InvalidInput("field " + field + " is missing or not understood");
        }
    }
}
