package myrtleladder.exhaustion;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * What one misbehaving client sends: a beginning, and then a piece a number of times. It neither
 * ends its request nor closes its connection unless these bytes do so.
 *
 * @param beginning the first bytes
 * @param piece the repeated bytes
 * @param pieces how often the piece is sent
 */
record Payload(byte[] beginning, byte[] piece, long pieces) {
    private static final String HOST_FIELD = "Host: " + ExhaustionFleet.hostName() + "\r\n";

    /** How many bytes an incomplete body lacks. */
    private static final int MISSING_BYTES = 10;

    /** A connection on which nothing is sent. */
    static Payload silence() {
        return new Payload(new byte[0], new byte[0], 0);
    }

    /** A head without end, of {@code size} bytes. */
    static Payload incompleteHead(int size) {
        return repeated(
                "GET /a/x HTTP/1.1\r\n" + HOST_FIELD,
                "X-Field: " + "v".repeat(989) + "\r\n",
                size / 1_000);
    }

    /** A request line without end. */
    static Payload incompleteRequestLine(int size) {
        return repeated("GET /a/", "x".repeat(1_000), size / 1_000);
    }

    /** Empty lines in front of a request that never comes. */
    static Payload emptyLines(int size) {
        return repeated("", "\r\n".repeat(500), size / 1_000);
    }

    /** A request with its whole body, sent in one piece. */
    static Payload wholeBody(String target, int size) {
        return new Payload(request(target, size, size), new byte[0], 0);
    }

    /** A body in pieces that stops just short of its end. */
    static Payload incompleteBody(String target, int size, int pieceSize) {
        return repeated(
                head(target, size), "b".repeat(pieceSize), (size - MISSING_BYTES) / pieceSize);
    }

    /** A body whose length is over the limit, sent on and on. */
    static Payload oversizedBody(String target, long size) {
        return repeated(head(target, size), "b".repeat(10_000), size / 10_000);
    }

    /** A chunked body that stops before its last chunk. */
    static Payload chunks(String target, int chunkSize, int chunks) {
        String chunk = Integer.toHexString(chunkSize) + "\r\n" + "c".repeat(chunkSize) + "\r\n";
        int together = Math.max(1, 16_000 / chunk.length());
        return repeated(chunkedHead(target), chunk.repeat(together), chunks / together);
    }

    /** A chunk extension without end. */
    static Payload chunkExtension(String target, int size) {
        return repeated(chunkedHead(target) + "1;", "e".repeat(1_000), size / 1_000);
    }

    /** Trailer fields without end. */
    static Payload trailers(String target, int size) {
        return repeated(
                chunkedHead(target) + "1\r\nc\r\n0\r\n",
                "T: " + "t".repeat(995) + "\r\n",
                size / 1_000);
    }

    /** Several whole requests sent without waiting for an answer. */
    static Payload pipelined(String target, int bodySize, int requests) {
        return new Payload(new byte[0], request(target, bodySize, bodySize), requests);
    }

    /** Several reads sent without waiting for an answer. */
    static Payload pipelinedReads(String target, int requests) {
        return repeated("", "GET " + target + " HTTP/1.1\r\n" + HOST_FIELD + "\r\n", requests);
    }

    /** A whole request and, behind it, one whose body stops short of its end. */
    static Payload incompleteBehindWhole(String target, int size) {
        byte[] first = request(target, 1, 1);
        byte[] second = request(target, size, size - MISSING_BYTES);
        byte[] both = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return new Payload(both, new byte[0], 0);
    }

    private static Payload repeated(String beginning, String piece, long pieces) {
        return new Payload(beginning.getBytes(ISO_8859_1), piece.getBytes(ISO_8859_1), pieces);
    }

    private static String head(String target, long length) {
        return "POST "
                + target
                + " HTTP/1.1\r\n"
                + HOST_FIELD
                + "Myrtleladder-Attempt-Id: 0123456789abcdef\r\n"
                + "Myrtleladder-Deadline-Ms: 8000\r\nContent-Length: "
                + length
                + "\r\n\r\n";
    }

    private static String chunkedHead(String target) {
        return "POST "
                + target
                + " HTTP/1.1\r\n"
                + HOST_FIELD
                + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static byte[] request(String target, int length, int sent) {
        byte[] head = head(target, length).getBytes(ISO_8859_1);
        byte[] whole = Arrays.copyOf(head, head.length + sent);
        Arrays.fill(whole, head.length, whole.length, (byte) 'b');
        return whole;
    }

    /** Returns the bytes of a step: the beginning is step 0; null behind the last one. */
    ByteBuffer step(long number) {
        if (number == 0) {
            return ByteBuffer.wrap(beginning);
        }
        return number <= pieces ? ByteBuffer.wrap(piece) : null;
    }
}
