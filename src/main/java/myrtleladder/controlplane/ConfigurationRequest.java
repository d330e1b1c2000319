package myrtleladder.controlplane;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import myrtleladder.http.ServerExchange;

/**
 * An operator's request to {@code /config}.
 *
 * @param exchange the HTTP exchange, which must be answered exactly once
 * @param digest identifies the change: requests with the same method, {@code If-Match} and body
 *     have the same digest, so that a retry is recognized
 */
record ConfigurationRequest(ServerExchange exchange, String digest) {
    /** Length to which the SHA-256 hash is truncated; stored digests have this length. */
    private static final int DIGEST_BYTES = 16;

    /** Creates the request of an exchange. */
    static ConfigurationRequest of(ServerExchange exchange) {
        return new ConfigurationRequest(exchange, digestOf(exchange));
    }

    private static String digestOf(ServerExchange exchange) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            String firstLine = exchange.head().method() + " " + ifMatch(exchange) + "\n";
            sha256.update(firstLine.getBytes(StandardCharsets.UTF_8));
            byte[] hash = sha256.digest(exchange.body());
            return HexFormat.of().formatHex(hash, 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must support SHA-256", e);
        }
    }

    private static String ifMatch(ServerExchange exchange) {
        return exchange.head().headers().get("If-Match");
    }

    /** Returns whether the request only reads the configuration. */
    boolean isRead() {
        return method().equals("GET");
    }

    /** Returns whether the body is a complete configuration that replaces the committed one. */
    boolean isReplacement() {
        return method().equals("PUT");
    }

    /** Returns whether the body changes parts of the committed configuration. */
    boolean isPatch() {
        return method().equals("PATCH");
    }

    private String method() {
        return exchange.head().method();
    }

    /** Returns whether {@code If-Match} is absent or equals this generation, quoted or not. */
    boolean matchesGeneration(long generation) {
        String expected = ifMatch(exchange);
        return expected == null
                || expected.replace("\"", "").trim().equals(Long.toString(generation));
    }

    byte[] body() {
        return exchange.body();
    }
}
