package myrtleladder.loadbalancer.admin;

import java.nio.file.Files;
import java.nio.file.Path;
import myrtleladder.error.OperatorError;
import myrtleladder.loadbalancer.policy.Golden;
import myrtleladder.toml.TomlFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Pins the operators' configuration: every key, its default, its printed form, and the message for
 * each invalid line. A file that was valid has to stay valid with the same meaning.
 */
class OperatorConfigurationCompatibilityTest {
    @TempDir Path folder;

    /**
     * Returns the values read, or the error message. The parser puts Java type names into messages;
     * they are masked, since they change when a type is renamed.
     */
    private String read(String text) throws Exception {
        Path file = Files.writeString(folder.resolve("ours.toml"), text);
        try {
            return Golden.values(OperatorConfigurationReader.read(file));
        } catch (OperatorError e) {
            return "refused: "
                    + e.getMessage()
                            .replace(file.toString(), "FILE")
                            .replaceAll("`myrtleladder[.][A-Za-z0-9.$]+`", "`TYPE`");
        }
    }

    @Test
    void everyKeyIsReadAndShown() throws Exception {
        String text = Golden.read("command/own.toml");
        Path file = Files.writeString(folder.resolve("ours.toml"), text);
        Golden.assertMatches("command/own-values.txt", read(text) + "\n");
        Golden.assertMatches(
                "command/own-shown.txt", TomlFile.write(OperatorConfigurationReader.read(file)));
    }

    @Test
    void defaultsAreReadAndShown() throws Exception {
        Golden.assertMatches(
                "command/own-defaults.txt",
                read("") + "\n" + TomlFile.write(OperatorConfiguration.DEFAULTS));
    }

    /** Changes one line at a time: removes it, misspells its key, or gives it an invalid value. */
    @Test
    void effectOfEachChangedLineStays() throws Exception {
        String[] lines = Golden.read("command/own.toml").split("\n");
        StringBuilder results = new StringBuilder();
        for (int i = 0; i < lines.length; i++) {
            String[] replacements =
                    lines[i].startsWith("[")
                            ? new String[] {"[x" + lines[i].substring(1)}
                            : new String[] {
                                "",
                                "x" + lines[i],
                                lines[i].replaceFirst("=.*", "= -1"),
                                lines[i].replaceFirst("=.*", "= \"nonsense\""),
                                lines[i].replaceFirst("=.*", "= [\"\", \"\"]"),
                                lines[i].replaceFirst("=.*", "= 1.5"),
                                lines[i].replaceFirst("=.*", "= \"\""),
                                lines[i].replaceFirst("=.*", "")
                            };
            for (String replacement : replacements) {
                String[] changed = lines.clone();
                changed[i] = replacement;
                results.append(lines[i])
                        .append(" -> ")
                        .append(replacement)
                        .append('\n')
                        .append("    ")
                        .append(read(String.join("\n", changed)))
                        .append('\n');
            }
        }
        Golden.assertMatches("command/own-lines.txt", results.toString());
    }
}
