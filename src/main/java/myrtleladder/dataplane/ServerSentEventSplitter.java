package myrtleladder.dataplane;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Cuts a stream of bytes into whole events, so that one cut off midway is never passed on. */
final class ServerSentEventSplitter {
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
    static final long NO_ID = -1;

    /** Who takes events. */
    interface Listener {
        /**
         * A whole event with the empty line behind it; {@code id} is {@link #NO_ID} if it has none.
         */
        void event(byte[] bytes, long id);
    }

    private byte[] rest = {};

    void feed(byte[] bytes, Listener listener) {
        byte[] all = rest.length == 0 ? bytes : concatenate(rest, bytes);
        int begin = 0;
        int lineBegin = 0;
        for (int i = 0; i < all.length; i++) {
            if (all[i] != '\n') {
                continue;
            }
            boolean empty = i == lineBegin || i == lineBegin + 1 && all[lineBegin] == '\r';
            lineBegin = i + 1;
            if (empty) {
                byte[] event = Arrays.copyOfRange(all, begin, i + 1);
                begin = i + 1;
                listener.event(event, idOf(event));
            }
        }
        rest = begin == 0 ? all : Arrays.copyOfRange(all, begin, all.length);
    }

    /** What has come of the next event. */
    byte[] rest() {
        return rest;
    }

    private static byte[] concatenate(byte[] a, byte[] b) {
        byte[] both = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, both, a.length, b.length);
        return both;
    }

    static long idOf(byte[] event) {
        for (int i = 0; i < event.length; i++) {
            boolean lineStarts = i == 0 || event[i - 1] == '\n';
            if (lineStarts && startsWith(event, i)) {
                return number(event, i + ID.length);
            }
        }
        return NO_ID;
    }

    private static boolean startsWith(byte[] event, int at) {
        if (event.length - at < ID.length) {
            return false;
        }
        for (int k = 0; k < ID.length; k++) {
            if (event[at + k] != ID[k]) {
                return false;
            }
        }
        return true;
    }

    private static long number(byte[] event, int from) {
        long value = 0;
        boolean any = false;
        for (int i = from; i < event.length && event[i] != '\n' && event[i] != '\r'; i++) {
            if (event[i] >= '0' && event[i] <= '9') {
                value = value * 10 + event[i] - '0';
                any = true;
            } else if (event[i] != ' ') {
                return NO_ID;
            }
        }
        return any ? value : NO_ID;
    }
}
