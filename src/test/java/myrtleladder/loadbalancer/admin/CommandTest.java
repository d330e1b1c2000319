package myrtleladder.loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Tests the output and exit status of commands. */
class CommandTest {
    private static final String GOOD =
            """
            [log]
            format = "json"
            level = "warning"

            [log.levels]
            node = "debug"

            [admin]
            listen = "127.0.0.1:0"
            """;

    @TempDir Path folder;

    private record CommandResult(int status, String out, String err) {}

    private static CommandResult execute(String... args) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        CommandLine line =
                Main.commandLine()
                        .setOut(new PrintWriter(out, true))
                        .setErr(new PrintWriter(err, true));
        int status = line.execute(args);
        return new CommandResult(status, out.toString(), err.toString());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[log]|[lok]|:1: lok: ",
                "level =|levl =|:3: log.levl: ",
                "\"json\"|\"xml\"|:2: log.format: ",
                "\"json\"|3|:2: log.format: ",
                "node =|\"No de\" =|log.levels.No de: ",
                "format =|format|:2: ",
                "127.0.0.1:0|10.1.2.3:80|admin.listen: ",
                "127.0.0.1:0|127.0.0.1:http|admin.listen: ",
                "127.0.0.1:0|127.0.0.1:65536|admin.listen: "
            })
    void errorNamesFileLineAndKey(String good, String bad, String expectedPosition)
            throws Exception {
        Path file = Files.writeString(folder.resolve("ours.toml"), GOOD.replace(good, bad));
        CommandResult result = execute("config", "check", file.toString());
        assertEquals(2, result.status());
        String named = file + (expectedPosition.startsWith(":") ? "" : ": ") + expectedPosition;
        assertTrue(result.err().contains(named), result.err());
    }

    /**
     * The printed configuration reads back as the same values; keys that a file leaves out have
     * their defaults.
     */
    @Test
    void showPrintsConfigurationWithDefaults() throws Exception {
        Path ours =
                Files.writeString(
                        folder.resolve("ours.toml"),
                        GOOD.replace("level = \"warning\"", "")
                                .replace("listen = \"127.0.0.1:0\"", ""));
        CommandResult result = execute("config", "show", ours.toString());
        assertEquals(0, result.status(), result.err());
        Path shown = Files.writeString(folder.resolve("shown.toml"), result.out());
        assertEquals(
                new OperatorConfiguration(
                        new OperatorConfiguration.LogSection(
                                OperatorConfiguration.LogFormat.JSON,
                                OperatorConfiguration.LogLevel.INFO,
                                Map.of("node", OperatorConfiguration.LogLevel.DEBUG)),
                        OperatorConfiguration.DEFAULTS.admin(),
                        null),
                OperatorConfigurationReader.read(shown));
        Path nothing =
                Files.writeString(folder.resolve("nothing.toml"), execute("config", "show").out());
        assertEquals(OperatorConfiguration.DEFAULTS, OperatorConfigurationReader.read(nothing));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "serve --confg x|--confg",
                "lab run|FILE",
                "lab runn|runn",
                "lab run x.toml --plays many|--plays"
            })
    void errorNamesInvalidArgument(String args, String named) {
        CommandResult result = execute(args.split(" "));
        assertEquals(2, result.status());
        assertTrue(result.err().contains(named), result.err());
    }

    @Test
    void logRecordIsFormattedAsOneJsonObject() throws Exception {
        LogRecord line = new LogRecord(Level.WARNING, "member lost\nb3");
        line.setLoggerName("myrtleladder.loadbalancer.server.Driver");
        line.setParameters(new Object[] {Map.of("view", 7L, "why", "\"silent\"")});
        line.setThrown(new IllegalStateException("gone"));
        String text = new JsonLogFormatter("b1").format(line);
        assertEquals(1, text.lines().count(), text);
        JsonNode read = JsonMapper.builder().build().readTree(text);
        assertEquals(
                "warning b1 node",
                read.get("level").asText()
                        + " "
                        + read.get("process").asText()
                        + " "
                        + read.get("subsystem").asText());
        assertEquals("member lost\nb3", read.get("event").asText());
        assertEquals(7, read.get("view").asLong());
        assertEquals("\"silent\"", read.get("why").asText());
        assertTrue(
                read.get("error").asText().contains("gone") && read.get("stack").size() > 0, text);
    }
}
