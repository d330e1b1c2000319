package myrtleladder.result;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The table of result codes against the code. */
class ResultCodeTest {
    @Test
    void theTableOfErrorsListsEachCode() throws Exception {
        Pattern row = Pattern.compile("\\| (\\d+) \\| ([A-Z_]+) \\| [^|]+ \\| [^|]+ \\|");
        List<String> table =
                Files.readAllLines(Path.of("docs/errors.md")).stream()
                        .map(row::matcher)
                        .filter(m -> m.matches())
                        .map(m -> m.group(1) + " " + m.group(2))
                        .toList();
        assertEquals(
                Arrays.stream(ResultCode.values()).map(c -> c.number() + " " + c.name()).toList(),
                table);
    }
}
