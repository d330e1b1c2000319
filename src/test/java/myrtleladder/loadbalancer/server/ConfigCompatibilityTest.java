package myrtleladder.loadbalancer.server;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import myrtleladder.error.OperatorError;
import myrtleladder.loadbalancer.policy.Golden;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Verifies the meaning of each key in the platform's configuration file, including its list of
 * upstreams, and how lines from discovery are joined. The platform writes these files and does not
 * change together with the balancer. Values are compared without the names of fields.
 */
class ConfigCompatibilityTest {
    private static final JsonMapper JSON = JsonMapper.builder().build();

    @TempDir Path folder;

    private String read(String text) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), text);
        try {
            return Golden.values(BalancerConfig.read(file));
        } catch (OperatorError e) {
            return "refused: " + e.getMessage().replace(file.toString(), "FILE");
        }
    }

    private static List<String> keys(JsonNode node, String path) {
        List<String> all = new ArrayList<>();
        if (node instanceof ObjectNode object) {
            object.fieldNames()
                    .forEachRemaining(
                            name -> {
                                all.add(path + "/" + name);
                                all.addAll(keys(object.get(name), path + "/" + name));
                            });
        } else if (node instanceof ArrayNode array) {
            for (int i = 0; i < array.size(); i++) {
                all.addAll(keys(array.get(i), path + "/" + i));
            }
        }
        return all;
    }

    /**
     * Returns the differences of two texts, value by value with the index; all of the text if the
     * numbers of values differ.
     */
    private static String difference(String before, String after) {
        String[] old = before.split(" ");
        String[] now = after.split(" ");
        if (after.startsWith("refused") || old.length != now.length) {
            return after;
        }
        List<String> changes = new ArrayList<>();
        for (int i = 0; i < old.length; i++) {
            if (!old[i].equals(now[i])) {
                changes.add("value " + i + " " + old[i] + " becomes " + now[i]);
            }
        }
        return changes.isEmpty() ? "no change" : String.join(", ", changes);
    }

    private static JsonNode otherValue(JsonNode value) {
        return value.isTextual()
                ? JSON.getNodeFactory().textNode("nonsense")
                : value.isBoolean()
                        ? JSON.getNodeFactory().booleanNode(!value.booleanValue())
                        : JSON.getNodeFactory().numberNode(-1);
    }

    @Test
    void everyKeyIsReadAsItWas() throws Exception {
        Golden.assertMatches(
                "node/config-values.txt", read(Golden.read("node/config.json")) + "\n");
    }

    /** The effect of each single key: if it is missing, invalid or has a different value. */
    @Test
    void eachKeyByItselfMeansWhatItMeant() throws Exception {
        String text = Golden.read("node/config.json");
        String whole = read(text);
        StringBuilder lines = new StringBuilder();
        for (String key : keys(JSON.readTree(text), "")) {
            int slash = key.lastIndexOf('/');
            String name = key.substring(slash + 1);
            JsonNode without = JSON.readTree(text);
            ((ObjectNode) without.at(key.substring(0, slash))).remove(name);
            lines.append(key)
                    .append(" left out: ")
                    .append(difference(whole, read(without.toString())))
                    .append('\n');
            JsonNode changed = JSON.readTree(text);
            ObjectNode parent = (ObjectNode) changed.at(key.substring(0, slash));
            parent.set(name, otherValue(parent.get(name)));
            lines.append(key)
                    .append(" as ")
                    .append(parent.get(name))
                    .append(": ")
                    .append(difference(whole, read(changed.toString())))
                    .append('\n');
        }
        Golden.assertMatches("node/config-keys.txt", lines.toString());
    }

    /** Each text value of a setting, with the index of the value that it selects. */
    @Test
    void everyChoiceIsRead() throws Exception {
        StringBuilder lines = new StringBuilder();
        String text = Golden.read("node/config.json");
        String whole = read(text);
        String[][] choices = {
            {"/settings/report", "via", "piggyback", "pull", "silent"},
            {"/settings", "weights", "silent", "nominal", "rough", "live"},
            {"/settings", "discovery", "pushed", "on_request"},
            {"/settings", "counted-by", "work", "requests"},
            {"/settings/classes/0", "repeat", "free", "guarded", "single_shot"},
            {"/settings/classes/0", "dedup-scope", "all", "zone", "cell"},
            {"/known/servers/0", "state", "Ready", "Terminating", "Gone"}
        };
        for (String[] choice : choices) {
            for (int i = 2; i < choice.length; i++) {
                JsonNode changed = JSON.readTree(text);
                ((ObjectNode) changed.at(choice[0])).put(choice[1], choice[i]);
                lines.append(choice[1])
                        .append(' ')
                        .append(choice[i])
                        .append(": ")
                        .append(difference(whole, read(changed.toString())))
                        .append('\n');
            }
        }
        Golden.assertMatches("node/config-choices.txt", lines.toString());
    }

    /**
     * Upstreams of the list as passed to the decision module, with zones and kinds that are not in
     * the settings.
     */
    @Test
    void theListIsHandedOnAsItWas() throws Exception {
        Path file =
                Files.writeString(folder.resolve("config.json"), Golden.read("node/config.json"));
        BalancerConfig config = BalancerConfig.read(file);
        StringBuilder lines = new StringBuilder();
        for (EndpointList.Endpoint entry : config.initialEndpoints().endpoints()) {
            lines.append(Golden.values(entry.toModule(config.settings()))).append('\n');
        }
        Golden.assertMatches("node/list-values.txt", lines.toString());
    }

    @Test
    void linesOfAListAreJoinedAsTheyWere() throws Exception {
        StringBuilder lines = new StringBuilder();
        JsonObjectAssembler joined =
                new JsonObjectAssembler(64, () -> lines.append("one was never closed\n"));
        for (String line : Golden.read("node/list-lines.txt").split("\n", -1)) {
            byte[] whole = joined.add(line.getBytes(StandardCharsets.UTF_8));
            lines.append(line)
                    .append(" -> ")
                    .append(
                            whole == null
                                    ? "more has to come"
                                    : new String(whole, StandardCharsets.UTF_8).replace("\n", "~"))
                    .append('\n');
        }
        Golden.assertMatches("node/list-lines-joined.txt", lines.toString());
    }

    @Test
    void filesThatAreNotConfigurationsGetTheSameMessages() throws Exception {
        StringBuilder lines = new StringBuilder();
        for (String text :
                new String[] {
                    "",
                    "[]",
                    "{",
                    "{}",
                    "{\"listen\":\"here\"}",
                    "{\"seed\":\"xyz\"}",
                    "{\"listen\":\n\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:99999\"}"
                }) {
            lines.append(text.replace("\n", "~")).append(" -> ").append(read(text)).append('\n');
        }
        Golden.assertMatches("node/config-refused.txt", lines.toString());
    }
}
