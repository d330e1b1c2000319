package myrtleladder.controlplane;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import myrtleladder.http.ServerExchange;

/**
 * A request of an operator at {@code /config}.
 *
 * @param exchange the request, which is owed one response
 * @param digest identifies the request: two arrivals with the same method, {@code If-Match} and
 *     body have the same digest and are the same change
 */
record ConfigurationRequest(ServerExchange exchange, String digest) {
    /** Bytes of the SHA-256 hash that are kept; stored digests have this length. */
    private static final int DIGEST_BYTES = 16;

    /** Creates the request that an exchange carries. */
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
            throw new IllegalStateException("each platform has SHA-256", e);
        }
    }

    private static String ifMatch(ServerExchange exchange) {
        return exchange.head().headers().get("If-Match");
    }

    /** Whether the request only reads the configuration. */
    boolean isRead() {
        return method().equals("GET");
    }

    /** Whether the body is a whole configuration that replaces the committed one. */
    boolean isReplacement() {
        return method().equals("PUT");
    }

    /** Whether the body changes parts of the committed configuration. */
    boolean isPatch() {
        return method().equals("PATCH");
    }

    private String method() {
        return exchange.head().method();
    }

    /** Whether {@code If-Match} is absent or names this generation, quoted or not. */
    boolean matches(long generation) {
        String expected = ifMatch(exchange);
        return expected == null
                || expected.replace("\"", "").trim().equals(Long.toString(generation));
    }

    byte[] body() {
        return exchange.body();
    }
}
