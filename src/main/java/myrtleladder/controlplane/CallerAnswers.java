package myrtleladder.controlplane;

import java.util.Map;
import myrtleladder.configuration.Json;
import myrtleladder.io.Headers;
import myrtleladder.io.ServerExchange;
import myrtleladder.protocol.Member;
import myrtleladder.replication.Replica;

/** The answers that callers of the control address get in like cases. */
final class CallerAnswers {
    private static final byte[] NO_BYTES = {};
    private static final String RETRY_AFTER = "0.2";

    private CallerAnswers() {}

    /** Names the primary, or says that there is no clear answer if none is known. */
    static void redirect(ServerExchange exchange, Replica replica) {
        Member primary = replica.primary();
        if (primary == null || primary.equals(replica.self())) {
            unclear(exchange);
            return;
        }
        exchange.respond(
                307,
                new Headers()
                        .add(
                                "Location",
                                "http://" + primary.controlAddress + exchange.head().target()),
                NO_BYTES);
    }

    /** Nothing is said of what was asked; the caller asks again. */
    static void unclear(ServerExchange exchange) {
        exchange.respond(503, new Headers().add("Retry-After", RETRY_AFTER), NO_BYTES);
    }

    /** Refuses with a reason. */
    static void refuse(ServerExchange exchange, int status, String message) {
        document(exchange, status, Json.write(Map.of("error", message)));
    }

    /** Acknowledges with nothing to tell. */
    static void acknowledge(ServerExchange exchange) {
        document(exchange, 200, Json.write(Map.of()));
    }

    /** Answers with a JSON document. */
    static void document(ServerExchange exchange, int status, byte[] document) {
        exchange.respond(status, new Headers().add("Content-Type", "application/json"), document);
    }

    /** Answers without a document. */
    static void empty(ServerExchange exchange, int status) {
        exchange.respond(status, new Headers(), NO_BYTES);
    }
}
