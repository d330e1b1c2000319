package myrtleladder.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import myrtleladder.result.ResultCode;
import org.junit.jupiter.api.Test;

/** Exit codes of the fleet's programs. */
class ProgramCommandTest {
    private static int run(String... arguments) {
        return ProgramCommand.run(
                arguments, "program WORD", "words", ProgramCommandTest::runSubcommand);
    }

    private static int runSubcommand(List<String> words) {
        return switch (words.get(0)) {
            case "done" -> 0;
            case "refused" -> throw new SettingsException(ResultCode.SETTINGS_VALUE, "a field");
            default -> ProgramCommand.unknown(words.get(0));
        };
    }

    @Test
    void eachOutcomeHasItsExitCode() {
        assertEquals(0, run("done"));
        assertEquals(0, run("--help"));
        assertEquals(1, run("refused"));
        assertEquals(2, run("other"));
        assertEquals(2, run("--nonsense"));
        assertEquals(2, run());
    }
}
