package myrtleladder.controlplane;

import java.util.Map;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.http.Headers;
import myrtleladder.http.ServerExchange;
import myrtleladder.protocol.Member;
import myrtleladder.replication.Replica;

/**
 * The responses that all handlers of the control address share. Each method sends the one response
 * that the exchange is owed.
 */
final class HttpResponses {
    static final int OK = 200;
    static final int TEMPORARY_REDIRECT = 307;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int PRECONDITION_FAILED = 412;
    static final int SERVICE_UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;

    private static final byte[] NO_BODY = {};

    /** Seconds after which a caller may ask again, as the header has it. */
    private static final String RETRY_AFTER_S = "0.2";

    private HttpResponses() {}

    /** Redirects to the primary; 503 if none is known but this node itself. */
    static void redirectToPrimary(ServerExchange exchange, Replica replica) {
        Member primary = replica.primary();
        if (primary == null || primary.equals(replica.self())) {
            unavailable(exchange);
            return;
        }
        String location = "http://" + primary.controlAddress + exchange.head().target();
        exchange.respond(TEMPORARY_REDIRECT, new Headers().add("Location", location), NO_BODY);
    }

    /** Leaves open whether the request took effect; the caller asks again. */
    static void unavailable(ServerExchange exchange) {
        exchange.respond(
                SERVICE_UNAVAILABLE, new Headers().add("Retry-After", RETRY_AFTER_S), NO_BODY);
    }

    /** Refuses the request with a reason, as JSON. */
    static void error(ServerExchange exchange, int status, String reason) {
        json(exchange, status, JsonCodec.serialize(Map.of("error", reason)));
    }

    /** Acknowledges the request with an empty JSON object. */
    static void acknowledge(ServerExchange exchange) {
        json(exchange, OK, JsonCodec.serialize(Map.of()));
    }

    /** Responds with a JSON document. */
    static void json(ServerExchange exchange, int status, byte[] document) {
        exchange.respond(status, new Headers().add("Content-Type", "application/json"), document);
    }

    /** Responds without a body. */
    static void empty(ServerExchange exchange, int status) {
        exchange.respond(status, new Headers(), NO_BODY);
    }
}
