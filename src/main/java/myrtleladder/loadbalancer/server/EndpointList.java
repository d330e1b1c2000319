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
 * A full list of endpoints, or changes to one, in the format of discovery. Immutable.
 *
 * @param isFull whether the list is complete, so that endpoints not in it are gone
 */
record EndpointList(long version, boolean isFull, List<Endpoint> endpoints) {
    static final EndpointList EMPTY = new EndpointList(0, true, List.of());

    private static final Map<String, State> STATES =
            Map.of("Ready", State.READY, "Terminating", State.DRAINING, "Gone", State.GONE);

    /** Keeps the index of a name that is not in the settings positive; collisions are rare. */
    private static final int UNKNOWN_NAME_MASK = 0xFFFFFF;

    /**
     * One endpoint as listed.
     *
     * @param address null if the endpoint is gone
     * @param startedMs start of the process, Unix time in milliseconds; 0 if long ago
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
         * Converts the endpoint for the decision module, whose clock is monotonic Unix time in
         * microseconds. An endpoint that is listed again keeps exactly the same start time, so only
         * a real restart is detected as one.
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
         * Returns the index of a name. A name that is not in the settings gets an index derived
         * from its hash, so that different names do not form one group.
         */
        private static int index(List<String> names, String name) {
            int index = names.indexOf(name);
            return index >= 0 ? index : names.size() + (name.hashCode() & UNKNOWN_NAME_MASK);
        }
    }

    /**
     * Reads one list. The parser must be at the start of the object.
     *
     * @throws InvalidInput if a field is missing or malformed
     * @throws IOException if the input is not valid JSON
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
     * @throws InvalidInput with the name of the field, if it is not valid
     */
    static void require(boolean isValid, String field) throws InvalidInput {
        if (!isValid) {
            throw new InvalidInput("field " + field + " is missing or not understood");
        }
    }
}
