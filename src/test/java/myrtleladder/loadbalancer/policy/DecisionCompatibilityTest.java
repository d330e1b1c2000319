package myrtleladder.loadbalancer.policy;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares every action of the decision module, in order and with all arguments, with recorded files.
 * A seed determines the scenarios. Refactoring must not change any action, rounding or random number.
 * A change of the decision rules must update the recorded files deliberately and say so. They were
 * recorded on 64-bit x86: {@code Math.exp} and {@code Math.pow} may differ on other platforms.
 */
class DecisionCompatibilityTest {
    private static final int SHORT = 400;
    private static final int LONG = 20_000;

    @ParameterizedTest
    @MethodSource("myrtleladder.loadbalancer.policy.DecisionScenario#variants")
    void aShortScenarioCallsTheSameActions(String variant) throws Exception {
        Golden.assertMatches(
                "decisions/" + variant + ".txt",
                DecisionScenario.play(variant, 1, SHORT).log.toString());
    }

    /** Each line has the variant, the seed, the SHA-256 of the log and the count of each action. */
    @Test
    void longScenariosHaveTheSameDigests() throws Exception {
        StringBuilder lines = new StringBuilder();
        for (String variant : DecisionScenario.VARIANTS) {
            for (int seed = 11; seed <= 12; seed++) {
                DecisionScenario played = DecisionScenario.play(variant, seed, LONG);
                byte[] digest =
                        MessageDigest.getInstance("SHA-256")
                                .digest(played.log.toString().getBytes(StandardCharsets.UTF_8));
                lines.append(variant)
                        .append(' ')
                        .append(seed)
                        .append(' ')
                        .append(HexFormat.of().formatHex(digest))
                        .append(' ')
                        .append(played.counts)
                        .append('\n');
            }
        }
        Golden.assertMatches("decisions/digests.txt", lines.toString());
    }
}
