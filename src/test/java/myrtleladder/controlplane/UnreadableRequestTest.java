package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against requests that cannot be read and that left the primary without an answer, which
 * stopped all later requests of operators: each is answered with 400 and the next one is served.
 */
class UnreadableRequestTest {
    /** The route's name has characters of three bytes. */
    private static final String PATCH =
            "{\"generation\":5,\"upsert\":{\"routes\":[{\"name\":\"\u09a2\u09be\u0995\u09be\\/\"}]}}";

    private static final long DRAWN_SEED = 55;
    private static final int DRAWN_REQUESTS = 200;

    private final ControlPlaneFixture node = new ControlPlaneFixture();

    private static Stream<byte[]> unreadableBodies() {
        byte[] patch = utf8(PATCH);
        int firstLetter = PATCH.indexOf('\u09a2');
        int backslash = utf8(PATCH.substring(0, PATCH.indexOf('\\'))).length;
        return Stream.of(
                Arrays.copyOf(patch, firstLetter + 1),
                Arrays.copyOf(patch, firstLetter + 2),
                Arrays.copyOf(patch, backslash + 1),
                utf8("{\"generation\":5,\"a\":\"\\u09"),
                utf8("{\"generation\":5,\"a\":\"\\ud800\"}"),
                utf8("{\"generation\":5,\"a\":" + "[".repeat(100_000)),
                utf8("{\"generation\":1e999}"),
                utf8("{\"generation\":1e300}"));
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @MethodSource("unreadableBodies")
    void aConfigurationThatCannotBeReadIsRejectedAndTheNextRequestIsServed(byte[] body) {
        assertEquals(200, node.change("PUT", "0", "{'generation':3}").status);
        for (String method : List.of("PATCH", "PUT")) {
            assertEquals(400, node.send(RecordedExchange.of(method, "/config", body), 50).status);
        }
        assertEquals(200, node.readConfiguration().status);
        assertEquals(200, node.change("PATCH", "3", "{'generation':4}").status);
        assertEquals("{\"generation\":4}", node.readConfiguration().body);
    }

    @ParameterizedTest
    @MethodSource("unreadableBodies")
    void aHeartbeatOrAdditionThatCannotBeReadIsRejectedAndTheNextOneIsTaken(byte[] body) {
        node.clock.run(2_000);
        for (String path : List.of("PUT /instances/i", "POST /tallies/t")) {
            String[] request = path.split(" ");
            assertEquals(
                    400, node.send(RecordedExchange.of(request[0], request[1], body), 50).status);
        }
        assertEquals(200, node.heartbeat("i", "ready", 1).status);
        RecordedExchange addition =
                RecordedExchange.of("POST", "/tallies/t", "{'id':'a','owner':4}");
        assertEquals(200, node.send(addition, 50).status);
    }

    @Test
    void aConfigurationWithAListOfListsIsTakenAndReadBackUnchanged() {
        String body = "{'generation':3,'a':[[1],[{'b':[[]]}],2]}";
        assertEquals(200, node.change("PUT", "0", body).status);
        assertEquals(body.replace('\'', '"'), node.readConfiguration().body);
    }

    @Test
    void eachProperChangeAmongDrawnDamagedOnesIsAcknowledged() {
        Random random = new Random(DRAWN_SEED);
        long generation = 0;
        for (int i = 0; i < DRAWN_REQUESTS; i++) {
            byte[] damaged = utf8(PATCH.replace(":5", ":" + (generation + 1)));
            damaged = Arrays.copyOf(damaged, random.nextInt(damaged.length - 1));
            for (int count = random.nextInt(3); count > 0 && damaged.length > 0; count--) {
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(1 << Byte.SIZE);
            }
            String description = "request " + i + " of seed " + DRAWN_SEED;
            RecordedExchange rejected = RecordedExchange.of("PATCH", "/config", damaged);
            assertEquals(400, node.send(rejected, 50).status, description);
            String patch = "{'generation':" + (generation + 2) + "}";
            String ifMatch = Long.toString(generation);
            assertEquals(200, node.change("PATCH", ifMatch, patch).status, description);
            generation += 2;
        }
    }
}
