package myrtleladder.configuration;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import myrtleladder.result.ResultCode;

/**
 * Checks the bytes of a JSON text before it is parsed, for what the parser does not report: text
 * that is not UTF-8 (RFC 8259, section 8.1) makes it read past the end of the input, and deeply
 * nested values overflow the stack, since it is recursive.
 */
final class JsonTextCheck {
    /** Maximum number of objects and arrays that contain a value. */
    static final int MAX_NESTING_DEPTH = 100;

    private static final int DECODE_BUFFER_CHARS = 4 * 1_024;

    private JsonTextCheck() {}

    /**
     * Checks a JSON text.
     *
     * @throws ConfigurationException with {@code CONFIGURATION_SYNTAX} if it is not UTF-8 or too
     *     deeply nested
     */
    static void check(byte[] bytes) {
        checkEncoding(bytes);
        checkNesting(bytes);
    }

    private static void checkEncoding(byte[] bytes) {
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
        ByteBuffer in = ByteBuffer.wrap(bytes);
        CharBuffer decoded = CharBuffer.allocate(DECODE_BUFFER_CHARS);
        CoderResult result;
        do {
            decoded.clear();
            result = decoder.decode(in, decoded, true);
            if (result.isError()) {
                throw new ConfigurationException(
                        ResultCode.CONFIGURATION_SYNTAX,
                        "the document is not UTF-8 at position " + in.position());
            }
        } while (result.isOverflow());
    }

    private static void checkNesting(byte[] bytes) {
        int depth = 0;
        boolean isInString = false;
        for (int i = 0; i < bytes.length; i++) {
            byte b = bytes[i];
            if (isInString && b == '\\') {
                i++;
            } else if (b == '"') {
                isInString = !isInString;
            } else if (!isInString && (b == '{' || b == '[')) {
                depth++;
            } else if (!isInString && (b == '}' || b == ']')) {
                depth--;
            }
            if (depth > MAX_NESTING_DEPTH) {
                throw new ConfigurationException(
                        ResultCode.CONFIGURATION_SYNTAX,
                        "more than " + MAX_NESTING_DEPTH + " nested values at position " + i);
            }
        }
    }
}
