package myrtleladder.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import myrtleladder.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a document that ends in another exception than the one that rejects it: texts that
 * cannot be read are rejected as such, and those that can be read can be written again.
 */
class JsonCodecTest {
    private static final String DOCUMENT =
            "{\"generation\":7,\"name\":\"\u09a2\u09be\u0995\u09be \ud83d\ude00 \\/\\u09be\\\"\","
                    + "\"lists\":[[1,[2.50,[]]],{},[{\"a\":null}],true,\"x\",1E+3],\"o\":{}}";
    private static final long MUTATION_SEED = 55;
    private static final int MUTATION_COUNT = 50_000;
    private static final int MAX_MUTATED_BYTES = 4;

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void assertRejected(byte[] text, String description) {
        ConfigurationException rejection =
                assertThrows(
                        ConfigurationException.class,
                        () -> JsonCodec.parseObject(text),
                        description);
        assertEquals(ResultCode.CONFIGURATION_SYNTAX, rejection.code(), description);
    }

    @Test
    void aTextThatIsCutShortAnywhereIsRejected() {
        byte[] whole = utf8(DOCUMENT);
        for (int length = 0; length < whole.length; length++) {
            assertRejected(Arrays.copyOf(whole, length), "cut after " + length + " bytes");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"a\":\"\\ud800\"}",
                "{\"a\":\"\\ud800x\"}",
                "{\"a\":\"\\udc00\\ud800\"}",
                "{\"a\":[[{\"b\":\"\\udfff\"}]]}",
                "{\"\\ud800\":1}"
            })
    void aTextWithAnUnpairedSurrogateIsRejected(String text) {
        assertRejected(utf8(text), text);
    }

    @ParameterizedTest
    @ValueSource(ints = {0x80, 0xc0, 0xe0, 0xed, 0xf5, 0xff})
    void aTextThatIsNotUtf8IsRejected(int invalidByte) {
        byte[] text = utf8("{\"a\":\"b\"}");
        text[6] = (byte) invalidByte;
        assertRejected(text, "byte " + invalidByte);
    }

    @Test
    void aTextWithTooManyNestedValuesIsRejectedBeforeTheStackOverflows() {
        int depth = 1_000_000;
        assertRejected(utf8("{\"a\":" + "[".repeat(depth)), "arrays");
        assertRejected(utf8("{\"a\":".repeat(depth)), "objects");
        int deepest = JsonTextCheck.MAX_NESTING_DEPTH - 1;
        byte[] allowed = utf8("{\"a\":" + "[".repeat(deepest) + "]".repeat(deepest) + "}");
        assertArrayEquals(allowed, JsonCodec.serialize(JsonCodec.parseObject(allowed)));
        assertRejected(
                utf8("{\"a\":[" + "[".repeat(deepest) + "]".repeat(deepest) + "]}"),
                "one level more");
    }

    @Test
    void aTextThatWasReadIsWrittenUnchanged() {
        String written = DOCUMENT.replace("\\/", "/").replace("\\u09be", "\u09be");
        assertEquals(
                written,
                new String(
                        JsonCodec.serialize(JsonCodec.parseObject(utf8(DOCUMENT))),
                        StandardCharsets.UTF_8));
    }

    @Test
    void aMutatedTextIsRejectedOrCanBeWrittenAndReadAgain() {
        Random random = new Random(MUTATION_SEED);
        for (int i = 0; i < MUTATION_COUNT; i++) {
            byte[] mutated = mutate(utf8(DOCUMENT), random);
            byte[] written;
            try {
                written = JsonCodec.serialize(JsonCodec.parseObject(mutated));
            } catch (ConfigurationException rejected) {
                continue;
            }
            assertArrayEquals(
                    written,
                    JsonCodec.serialize(JsonCodec.parseObject(written)),
                    "mutation " + i + " of seed " + MUTATION_SEED);
        }
    }

    /** Replaces some bytes, often by others of the text, and sometimes cuts the text short. */
    private static byte[] mutate(byte[] text, Random random) {
        for (int count = 1 + random.nextInt(MAX_MUTATED_BYTES); count > 0; count--) {
            boolean isFromText = random.nextBoolean();
            text[random.nextInt(text.length)] =
                    isFromText
                            ? text[random.nextInt(text.length)]
                            : (byte) random.nextInt(1 << Byte.SIZE);
        }
        return random.nextInt(4) == 0 ? Arrays.copyOf(text, random.nextInt(text.length)) : text;
    }
}
