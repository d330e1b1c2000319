package myrtleladder.loadbalancer.policy;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares every action of the decision module, in order and with all arguments, with recorded
 * files. A seed determines the scenarios. Refactoring must not change any action, rounding or
 * random number. A change of the decision rules must update the recorded files deliberately and say
 * so. They were recorded on 64-bit x86: {@code Math.exp} and {@code Math.pow} may differ on other
 * platforms.
 */
class DecisionCompatibilityTest {
    private static final int SHORT = 400;
    private static final int LONG = 20_000;

    @ParameterizedTest
    @MethodSource("myrtleladder.loadbalancer.policy.DecisionScenario#variants")
    void shortScenarioCallsRecordedActions(String variant) throws Exception {
        Golden.assertMatches(
                "decisions/" + variant + ".txt",
                DecisionScenario.simulate(variant, 1, SHORT).actionLog.toString());
    }

    /** Each line has the variant, the seed, the SHA-256 of the log and the count of each action. */
    @Test
    void longScenariosHaveRecordedDigests() throws Exception {
        StringBuilder lines = new StringBuilder();
        for (String variant : DecisionScenario.VARIANTS) {
            for (int seed = 11; seed <= 12; seed++) {
                DecisionScenario scenario = DecisionScenario.simulate(variant, seed, LONG);
                byte[] digest =
                        MessageDigest.getInstance("SHA-256")
                                .digest(
                                        scenario.actionLog
                                                .toString()
                                                .getBytes(StandardCharsets.UTF_8));
                lines.append(variant)
                        .append(' ')
                        .append(seed)
                        .append(' ')
                        .append(HexFormat.of().formatHex(digest))
                        .append(' ')
                        .append(scenario.actionCounts)
                        .append('\n');
            }
        }
        Golden.assertMatches("decisions/digests.txt", lines.toString());
    }
}
