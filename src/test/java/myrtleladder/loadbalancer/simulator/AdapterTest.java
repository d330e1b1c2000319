package myrtleladder.loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the simulator's protocol: every event, every action and every kind of invalid line. */
class AdapterTest {
    private static final String SETTINGS =
            "{\"az\":0,\"later\":{\"x\":[1,{}]},\"classes\":[{\"aim-s\":0.5,"
                + "\"give-up-s\":2,\"repeat\":\"free\",\"worth\":1,\"late-worth\":0,\"name\":\"a\"}],"
                + "\"ceilings\":{\"try-limit\":3,\"cancel\":true,\"probes\":true},\"group-size\":1,"
                + "\"localities\":[\"z\"],\"report\":{\"names\":[\"cpu\",\"avg_ms\"],\"via\":\"pull\"},"
                + "\"rules\":{\"start-capacity\":0.2,\"cold-s\":9,\"fall-multiple\":3,\"fall-s\":1},"
                + "\"prices\":{},\"tick-s\":0.005,\"weights\":\"silent\",\"discovery\":\"pushed\"}";
    private static final String CREATE =
            "{\"kind\":\"create\",\"who\":1,\"init-seed\":18446744073709551615,"
                    + "\"facts\":"
                    + SETTINGS
                    + "},{\"kind\":\"sync\",\"who\":1,\"form\":\"restored\",\"stamp\":1,\"elements\":"
                    + "[{\"upstream\":\"h:1\",\"failure-domain\":0,\"type\":0,\"block\":0,"
                    + "\"readiness\":\"Ready\",\"rating\":1,\"launched-s\":null}]}";
    private static final String REQUEST =
            "{\"kind\":\"work-item\",\"who\":1,\"corr\":\"é-1\",\"is-write\":false,"
                + "\"is-retry\":false,\"effort-s\":null,\"time-budget-s\":0.24,\"lane\":0,\"entity\":null,"
                + "\"party\":null,\"new-field\":[1]}";

    private record Result(int exit, String out, String err) {}

    private static Result run(String input, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int exit =
                Adapter.run(
                        args.length == 0 ? new String[] {"adapter"} : args,
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        out,
                        new PrintStream(err, true, StandardCharsets.UTF_8));
        return new Result(
                exit, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private static String batch(String timeS, String... events) {
        return "{\"moment-s\":" + timeS + ",\"input\":[" + String.join(",", events) + "]}\n";
    }

    @Test
    void emptyBatchProducesEmptyReply() {
        Result r = run(batch("8.41225"));
        assertEquals("{\"decisions\":[]}\n", r.out);
        assertEquals(0, r.exit);
    }

    @Test
    void requestIsForwardedAndCompleted() {
        Result r =
                run(
                        batch("10", CREATE)
                                + batch("10.000001", REQUEST)
                                + batch(
                                        "10.1",
                                        "{\"kind\":\"answer\",\"who\":1,\"corr\":\"é-1\",\"attempt\":0,"
                                            + "\"upstream\":\"h:1\",\"ending\":0,\"took-s\":0.1,"
                                            + "\"last\":true,\"feedback\":null}"));
        String[] lines = r.out.split("\n");
        assertTrue(
                lines[0].contains(
                        "{\"kind\":\"remind\",\"who\":1,\"ctx\":\"sweep\",\"sleep-for-s\":0.010000}"),
                r.out);
        assertEquals(
                "{\"decisions\":[{\"kind\":\"relay\",\"who\":1,\"corr\":\"é-1\",\"upstream\":\"h:1\"},"
                    + "{\"kind\":\"remind\",\"who\":1,\"ctx\":\"due\",\"sleep-for-s\":0.225000}]}",
                lines[1]);
        assertEquals("{\"decisions\":[]}", lines[2]);
    }

    @Test
    void timeFieldMayFollowEvents() {
        Result r = run("{\"input\":[" + CREATE + "],\"moment-s\":10}\n" + batch("10", REQUEST));
        assertTrue(r.out.contains("relay"), r.out + r.err);
    }

    @Test
    void everyEventKindIsAccepted() {
        Result r =
                run(
                        batch(
                                "10",
                                CREATE,
                                REQUEST,
                                "{\"kind\":\"opened\",\"who\":1,\"corr\":\"é-1\",\"took-s\":0.1,"
                                        + "\"upstream\":\"h:1\",\"attempt\":0}",
                                "{\"kind\":\"client-gone\",\"who\":1,\"corr\":\"é-1\"}",
                                "{\"kind\":\"ping-result\",\"who\":1,\"took-s\":0.1,"
                                    + "\"ending\":0,\"upstream\":\"h:1\",\"feedback\":[0.5,12]}",
                                "{\"kind\":\"reminder\",\"who\":1,\"ctx\":\"sweep\"}",
                                "{\"kind\":\"whisper\",\"who\":1,\"from\":2,\"body\":\"68692037\"}",
                                "{\"kind\":\"sync\",\"who\":1,\"form\":\"unavailable\","
                                        + "\"stamp\":1,\"elements\":null}",
                                "{\"kind\":\"destroy\",\"who\":1}",
                                CREATE,
                                "{\"kind\":\"of-the-future\",\"who\":1}"));
        assertEquals(0, r.exit, r.err);
        assertEquals(1, r.err.lines().count());
        assertTrue(r.err.contains("of-the-future"));
    }

    @Test
    void everyActionIsWritten() throws Exception {
        DecisionWriter decisions = new DecisionWriter();
        decisions.begin();
        myrtleladder.loadbalancer.policy.LoadBalancer.Actions actions = decisions.forInstance(4);
        actions.send("r", "u", 80_000);
        actions.reject("r", 1_500_000);
        actions.fail("r");
        actions.cancelAttempt("r", 2);
        actions.setTimer("t", 1);
        actions.probe("u");
        actions.closeIdleConnections("u");
        actions.setSubscribed(false);
        actions.fetchEndpointList();
        actions.sendToPeer(-1, new byte[] {0x0f});
        actions.sendToPeer(3, new byte[] {(byte) 0xa0});
        actions.log("two \"words\"");
        decisions.writeBug(4, "broken");
        assertEquals(everyDecision(), decisions.end().toString(StandardCharsets.UTF_8));
    }

    private static String everyDecision() {
        String who = ",\"who\":4";
        return "{\"decisions\":["
                + "{\"kind\":\"relay\""
                + who
                + ",\"corr\":\"r\",\"upstream\":\"u\",\"allow-for-s\":0.080000},"
                + "{\"kind\":\"turn-away\""
                + who
                + ",\"corr\":\"r\",\"come-back-s\":1.500000},"
                + "{\"kind\":\"surrender\""
                + who
                + ",\"corr\":\"r\"},"
                + "{\"kind\":\"cancel\""
                + who
                + ",\"corr\":\"r\",\"attempt\":2},"
                + "{\"kind\":\"remind\""
                + who
                + ",\"ctx\":\"t\",\"sleep-for-s\":0.000001},"
                + "{\"kind\":\"ask-load\""
                + who
                + ",\"upstream\":\"u\"},"
                + "{\"kind\":\"shut-idle\""
                + who
                + ",\"upstream\":\"u\"},"
                + "{\"kind\":\"tail\""
                + who
                + ",\"want\":false},"
                + "{\"kind\":\"reload\""
                + who
                + "},"
                + "{\"kind\":\"share\""
                + who
                + ",\"target\":\"all\",\"body\":\"0f\"},"
                + "{\"kind\":\"share\""
                + who
                + ",\"target\":3,\"body\":\"a0\"},"
                + "{\"kind\":\"record\""
                + who
                + ",\"msg\":\"two \\\"words\\\"\"},"
                + "{\"kind\":\"bug\""
                + who
                + ",\"msg\":\"broken\"}]}\n";
    }

    @Test
    void rejectedSettingIsReportedAsBugOfTheInstance() {
        Result r =
                run(
                        batch(
                                "10",
                                CREATE.replace("\"aim-s\":0.5", "\"aim-s\":-1")
                                        .replaceAll(",\\{\"kind\":\"sync\".*", "")));
        assertTrue(r.out.contains("\"bug\"") && r.out.contains("aim"), r.out + r.err);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "nonsense|not JSON",
                "[1]|not a JSON object",
                "{\"input\":[]}|no clock",
                "{\"moment-s\":1}|no array of events",
                "{\"moment-s\":1,\"input\":[7]}|an event that is not an object",
                "{\"moment-s\":1,\"input\":[{\"who\":1}]}|field kind",
                "{\"moment-s\":1,\"input\":[{\"kind\":\"destroy\"}]}|field who",
                "{\"moment-s\":1,\"input\":[{\"kind\":\"client-gone\",\"who\":9,\"corr\":\"x\"}]}|does"
                    + " not exist",
                "{\"moment-s\":1,\"input\":[{\"kind\":\"client-gone\",\"who\":\"a\",\"corr\":\"x\"}]}|not"
                    + " a number",
                "{\"moment-s\":1,\"input\":[]} {}|text after the end",
                "{\"moment-s\":1,\"input\":[|not JSON"
            })
    void invalidLineProducesOneLineMessage(String line, String message) {
        Result r = run(batch("0.5") + line + "\n");
        assertEquals(1, r.exit);
        assertEquals("{\"decisions\":[]}\n", r.out);
        assertEquals(1, r.err.lines().count(), r.err);
        assertTrue(r.err.startsWith("line 2: ") && r.err.contains(message), r.err);
    }

    @ParameterizedTest
    @ValueSource(strings = {"corr", "time-budget-s", "lane"})
    void missingRequiredFieldIsNamed(String field) {
        Result r = run(batch("10", CREATE, REQUEST.replace("\"" + field + "\"", "\"other\"")));
        assertEquals(1, r.exit);
        assertTrue(r.err.contains(field), r.err);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "adapter more", "help"})
    void wrongCommandLinePrintsUsage(String args) {
        Result r = run("", args.split(" "));
        assertEquals(2, r.exit);
        assertTrue(r.err.startsWith("usage:"));
        assertEquals("", r.out);
    }
}
