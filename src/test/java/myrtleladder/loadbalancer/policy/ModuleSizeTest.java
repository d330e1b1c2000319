package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The users' limits on the module: fewer than 1,200 lines that are not blank, 110 columns. */
class ModuleSizeTest {
    static String fault(List<String> lines) {
        long filled = lines.stream().filter(l -> !l.isBlank()).count();
        if (filled >= 1200) {
            return "too long: " + filled;
        }
        return lines.stream()
                .filter(l -> l.length() > 110)
                .findFirst()
                .map(l -> "too wide: " + l)
                .orElse("");
    }

    @Test
    void moduleIsWithinItsLimits() throws IOException {
        assertEquals(
                "",
                fault(
                        Files.readAllLines(
                                Path.of(
                                        "src/main/java/myrtleladder/loadbalancer/policy/Balance.java"))));
    }

    /** The limit holds for all files that the deploy file names for the decisions together. */
    @Test
    void allFilesOfTheDecisionsAreWithinTheLimitsTogether() throws IOException {
        String policy =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(l -> l.startsWith("policy = "))
                        .findFirst()
                        .orElseThrow();
        List<String> all = new java.util.ArrayList<>();
        java.util.regex.Matcher file =
                java.util.regex.Pattern.compile("\"([^\"]+\\.java)\"").matcher(policy);
        int files = 0;
        while (file.find()) {
            files++;
            all.addAll(Files.readAllLines(Path.of(file.group(1))));
        }
        assertEquals(3, files);
        assertEquals("", fault(all));
    }

    @Test
    void theLimitsCatchAnExcess() {
        assertEquals("too long: 1200", fault(Collections.nCopies(1200, "x")));
        assertEquals("too wide: " + "x".repeat(111), fault(List.of("x".repeat(111))));
        assertEquals("", fault(Collections.nCopies(1199, "x".repeat(110))));
    }
}
