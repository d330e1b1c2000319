package myrtleladder.loadbalancer.admin;

import java.nio.file.Files;
import java.nio.file.Path;
import myrtleladder.error.OperatorError;
import myrtleladder.loadbalancer.policy.Golden;
import myrtleladder.toml.TomlFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Pins our own configuration: every key, its default, what is shown of it, and the message for each
 * wrong line. Operators keep these files, and one that was good has to stay good and mean the same.
 */
class OperatorConfigurationCompatibilityTest {
    @TempDir Path folder;

    /**
     * Values, or the message; a type's name in it is the library's doing, and may change with ours.
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

    /** Each line by itself left out, mistyped, and with wrong values. */
    @Test
    void eachLineByItselfMeansWhatItMeant() throws Exception {
        String[] lines = Golden.read("command/own.toml").split("\n");
        StringBuilder said = new StringBuilder();
        for (int i = 0; i < lines.length; i++) {
            String[] wrong =
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
            for (String instead : wrong) {
                String[] changed = lines.clone();
                changed[i] = instead;
                said.append(lines[i])
                        .append(" -> ")
                        .append(instead)
                        .append('\n')
                        .append("    ")
                        .append(read(String.join("\n", changed)))
                        .append('\n');
            }
        }
        Golden.assertMatches("command/own-lines.txt", said.toString());
    }
}
