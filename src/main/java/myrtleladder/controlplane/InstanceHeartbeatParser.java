package myrtleladder.controlplane;

import java.util.List;
import java.util.Map;
import myrtleladder.configuration.ConfigurationException;
import myrtleladder.http.NetworkAddress;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.result.ResultCode;

/** Parses the JSON body of an upstream's heartbeat. */
final class InstanceHeartbeatParser {
    private static final long DEFAULT_CAPACITY = 1;
    private static final long DEFAULT_SEQUENCE = 0;
    private static final long DEFAULT_REMAINING_WARMUP_MS = 0;

    private InstanceHeartbeatParser() {}

    /**
     * Returns the instance record that a heartbeat describes.
     *
     * @param id the incarnation of the instance, from the path of the request
     * @throws ConfigurationException if a required field is missing or not a string, or the address
     *     has no port
     */
    static InstanceRecord parse(String id, Map<String, Object> json) {
        String state = requiredString(json, "state");
        return InstanceRecord.of(
                        id,
                        requiredString(json, "backend"),
                        requiredAddress(json),
                        String.valueOf(json.getOrDefault("zone", "")),
                        (int) integer(json, "capacity", DEFAULT_CAPACITY),
                        String.valueOf(json.getOrDefault("generation", "")),
                        state.equals("draining") ? Stage.DRAINING : Stage.READY,
                        integer(json, "sequence", DEFAULT_SEQUENCE))
                .withWeightsVersion(weightsVersion(json))
                .withWarmupLeftMs(integer(json, "warmup_left_ms", DEFAULT_REMAINING_WARMUP_MS));
    }

    /** Returns the version of the first model's weights; upstreams serve a single model. */
    private static long weightsVersion(Map<String, Object> json) {
        if (json.get("models") instanceof List<?> models
                && !models.isEmpty()
                && models.get(0) instanceof Map<?, ?> first
                && first.get("generation") instanceof Number version) {
            return version.longValue();
        }
        return InstanceRecord.UNKNOWN_WEIGHTS_VERSION;
    }

    private static String requiredString(Map<String, Object> json, String name) {
        if (json.get(name) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new ConfigurationException(ResultCode.CONFIGURATION_FIELD, name + " is not a text");
    }

    private static String requiredAddress(Map<String, Object> json) {
        String address = requiredString(json, "address");
        if (NetworkAddress.parse(address).isEmpty()) {
            throw new ConfigurationException(
                    ResultCode.CONFIGURATION_FIELD, "address is not an address: " + address);
        }
        return address;
    }

    private static long integer(Map<String, Object> json, String name, long defaultValue) {
        return json.get(name) instanceof Number number ? number.longValue() : defaultValue;
    }
}
