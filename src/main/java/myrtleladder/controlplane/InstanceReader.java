package myrtleladder.controlplane;

import java.util.List;
import java.util.Map;
import myrtleladder.configuration.ConfigurationException;
import myrtleladder.io.ResultCode;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;

/** Reads the body of an upstream's heartbeat. */
final class InstanceReader {
    private InstanceReader() {}

    static InstanceRecord read(String id, Map<String, Object> tree) {
        String state = text(tree, "state");
        return InstanceRecord.of(
                        id,
                        text(tree, "backend"),
                        text(tree, "address"),
                        String.valueOf(tree.getOrDefault("zone", "")),
                        (int) number(tree, "capacity", 1),
                        String.valueOf(tree.getOrDefault("generation", "")),
                        state.equals("draining") ? Stage.DRAINING : Stage.READY,
                        number(tree, "sequence", 0))
                .withWeightsVersion(weights(tree));
    }

    /** The version of the weights of the first model: an upstream serves one here. */
    private static long weights(Map<String, Object> tree) {
        boolean named =
                tree.get("models") instanceof List<?> models
                        && !models.isEmpty()
                        && models.get(0) instanceof Map<?, ?>;
        if (!named) {
            return InstanceRecord.UNKNOWN_WEIGHTS_VERSION;
        }
        Object told = ((Map<?, ?>) ((List<?>) tree.get("models")).get(0)).get("generation");
        return told instanceof Number number
                ? number.longValue()
                : InstanceRecord.UNKNOWN_WEIGHTS_VERSION;
    }

    private static String text(Map<String, Object> tree, String name) {
        if (tree.get(name) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new ConfigurationException(ResultCode.CONFIGURATION_FIELD, name + " is not a text");
    }

    private static long number(Map<String, Object> tree, String name, long otherwise) {
        return tree.get(name) instanceof Number number ? number.longValue() : otherwise;
    }
}
