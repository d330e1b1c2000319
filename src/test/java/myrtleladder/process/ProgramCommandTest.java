package myrtleladder.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
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
            case "defect" -> throw new IllegalStateException("not expected");
            default -> ProgramCommand.unknown(words.get(0));
        };
    }

    /** A program whose warm-up is interrupted. */
    private static final class InterruptedProgram implements ProgramCommand.Program {
        @Override
        public String name() {
            return "program";
        }

        @Override
        public void serve(NodeSettings settings) {
            // not called here
        }

        @Override
        public boolean warmUp() throws InterruptedException {
            throw new InterruptedException("stopped");
        }
    }

    @Test
    void warmUpThatIsInterruptedFailsAndKeepsTheInterrupt() {
        assertEquals(1, new ProgramCommand(new InterruptedProgram()).run("rehearse"));
        assertTrue(Thread.interrupted());
    }

    @Test
    void helpHasEachLineOnce() {
        PrintStream out = System.out;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
        try {
            new ProgramCommand(new InterruptedProgram()).run("--help");
        } finally {
            System.setOut(out);
        }
        String help = printed.toString(StandardCharsets.UTF_8);
        assertEquals(2, help.split("Exit codes", -1).length, help);
    }

    @Test
    void eachOutcomeHasItsExitCode() {
        assertEquals(0, run("done"));
        assertEquals(0, run("--help"));
        assertEquals(1, run("refused"));
        assertEquals(1, run("defect"));
        assertEquals(2, run("other"));
        assertEquals(2, run("--nonsense"));
        assertEquals(2, run());
    }
}
