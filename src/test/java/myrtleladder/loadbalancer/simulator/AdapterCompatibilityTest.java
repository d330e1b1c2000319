package myrtleladder.loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import myrtleladder.loadbalancer.policy.Golden;
import org.junit.jupiter.api.Test;

/**
 * Guards the simulator's protocol against incompatible changes: the same input must produce the
 * same output byte for byte, and an invalid line the same message and exit status. The simulator is
 * an external program that can't be adapted.
 */
class AdapterCompatibilityTest {
    private record Result(int exit, String out, String err) {}

    private static Result run(String input, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int exit =
                Adapter.run(
                        args,
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        out,
                        new PrintStream(err, true, StandardCharsets.UTF_8));
        return new Result(
                exit, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void recordedInputProducesRecordedOutput() throws Exception {
        Result result = run(Golden.read("adapter/input.jsonl"), "adapter");
        assertEquals(0, result.exit, result.err);
        // The class and line that rejected a setting change with the code.
        String out = result.out.replaceAll("at [\\w.$]+\\(\\w+[.]java:\\d+\\)", "at SOURCE");
        Golden.assertMatches("adapter/output.jsonl", out);
        Golden.assertMatches("adapter/messages.txt", result.err);
    }

    /** Runs each line separately and compares its message and exit status. */
    @Test
    void invalidLinesProduceRecordedMessages() throws Exception {
        StringBuilder messages = new StringBuilder();
        for (String line : Golden.read("adapter/bad-lines.txt").split("\n")) {
            Result result = run(line + "\n", "adapter");
            messages.append(line)
                    .append('\n')
                    .append("    ")
                    .append(result.exit)
                    .append(' ')
                    .append(result.out.strip())
                    .append(' ')
                    .append(result.err.strip())
                    .append('\n');
        }
        Golden.assertMatches("adapter/bad-lines-answers.txt", messages.toString());
    }

    @Test
    void wrongCommandLinePrintsRecordedUsage() throws Exception {
        Result result = run("", "adapter", "more");
        Golden.assertMatches("adapter/usage.txt", result.exit + " " + result.err);
    }
}
