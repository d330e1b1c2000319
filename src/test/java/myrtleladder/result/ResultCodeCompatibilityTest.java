package myrtleladder.result;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import myrtleladder.configuration.ConfigurationException;
import org.junit.jupiter.api.Test;

/**
 * The numbers and names of the results, against a golden table. Operators look them up by number,
 * and scripts search logs and refusals for them; so none may be renamed, renumbered or reused.
 */
class ResultCodeCompatibilityTest {
    private static List<String> golden() throws IOException {
        try (InputStream in =
                ResultCodeCompatibilityTest.class.getResourceAsStream(
                        "/compatibility/result-codes.txt")) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII).lines().toList();
        }
    }

    @Test
    void eachCodeHasItsNumberAndName() throws IOException {
        assertEquals(
                golden(),
                Arrays.stream(ResultCode.values()).map(c -> c.number() + " " + c.name()).toList());
    }

    @Test
    void eachLabelIsTheNumberBehindAnEAndTheName() throws IOException {
        assertEquals(
                golden().stream().map(line -> "E" + line).toList(),
                Arrays.stream(ResultCode.values()).map(ResultCode::label).toList());
    }

    @Test
    void aMessageBeginsWithTheLabel() {
        assertEquals(
                "E203 UNKNOWN_SERVICE: what is wrong",
                new ConfigurationException(ResultCode.UNKNOWN_SERVICE, "what is wrong")
                        .getMessage());
    }
}
