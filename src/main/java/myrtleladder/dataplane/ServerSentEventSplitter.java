package myrtleladder.dataplane;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete events, so that a
 * truncated event is never forwarded. Lines end with LF or CRLF; a CR alone does not end a line.
 * Create one for each response. Confined to the event loop.
 */
final class ServerSentEventSplitter {
    /** Identifier of an event without an id field, or with one that is not a number. */
    static final long NO_ID = -1;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NO_BYTES = {};

    /** Receives complete events. */
    interface Listener {
        /**
         * A complete event was received.
         *
         * @param event the bytes of the event including the empty line that ends it; the listener
         *     may keep and change the array
         * @param id the identifier of the event or {@link #NO_ID}
         */
        void onEvent(byte[] event, long id);
    }

    private byte[] remainder = NO_BYTES;

    /** Adds the next bytes of the stream and calls the listener for each event they complete. */
    void feed(byte[] bytes, Listener listener) {
        byte[] input = remainder.length == 0 ? bytes : concatenate(remainder, bytes);
        int eventStart = 0;
        int lineStart = 0;
        for (int i = 0; i < input.length; i++) {
            if (input[i] != '\n') {
                continue;
            }
            boolean isEmptyLine =
                    i == lineStart || (i == lineStart + 1 && input[lineStart] == '\r');
            lineStart = i + 1;
            if (isEmptyLine) {
                byte[] event = Arrays.copyOfRange(input, eventStart, i + 1);
                eventStart = i + 1;
                listener.onEvent(event, parseId(event));
            }
        }
        remainder = eventStart == 0 ? input : Arrays.copyOfRange(input, eventStart, input.length);
    }

    /** Returns the bytes after the last complete event. */
    byte[] remainder() {
        return remainder;
    }

    private static byte[] concatenate(byte[] first, byte[] second) {
        byte[] concatenated = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, concatenated, first.length, second.length);
        return concatenated;
    }

    /** Parses the first id field of an event. */
    private static long parseId(byte[] event) {
        for (int i = 0; i < event.length; i++) {
            boolean isLineStart = i == 0 || event[i - 1] == '\n';
            if (isLineStart && hasIdFieldAt(event, i)) {
                return parseNumber(event, i + ID_FIELD.length);
            }
        }
        return NO_ID;
    }

    private static boolean hasIdFieldAt(byte[] event, int offset) {
        if (event.length - offset < ID_FIELD.length) {
            return false;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (event[offset + i] != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }

    /** Parses the rest of a line as a decimal number and ignores spaces. */
    private static long parseNumber(byte[] event, int offset) {
        long value = 0;
        boolean hasDigit = false;
        for (int i = offset; i < event.length && event[i] != '\n' && event[i] != '\r'; i++) {
            if (event[i] >= '0' && event[i] <= '9') {
                value = value * 10 + event[i] - '0';
                hasDigit = true;
            } else if (event[i] != ' ') {
                return NO_ID;
            }
        }
        return hasDigit ? value : NO_ID;
    }
}
