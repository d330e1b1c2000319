package myrtleladder.controlplane;

import java.util.Map;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.http.Headers;
import myrtleladder.http.ServerExchange;
import myrtleladder.protocol.Member;
import myrtleladder.replication.Replica;

/**
 * HTTP responses that all handlers of the control address share. Each method sends the only
 * response of the exchange.
 */
final class HttpResponses {
    static final int OK = 200;
    static final int TEMPORARY_REDIRECT = 307;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int PRECONDITION_FAILED = 412;
    static final int INTERNAL_SERVER_ERROR = 500;
    static final int SERVICE_UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;

    private static final byte[] NO_BODY = {};

    /** Value of the Retry-After header in seconds. */
    private static final String RETRY_AFTER_S = "0.2";

    private HttpResponses() {}

    /** Redirects to the primary, or responds with 503 if no other node is known to be primary. */
    static void redirectToPrimary(ServerExchange exchange, Replica replica) {
        Member primary = replica.primary();
        if (primary == null || primary.equals(replica.self())) {
            sendUnavailable(exchange);
            return;
        }
        String location = "http://" + primary.controlAddress + exchange.head().target();
        exchange.respond(TEMPORARY_REDIRECT, new Headers().add("Location", location), NO_BODY);
    }

    /**
     * Responds with 503: it is unknown whether the request took effect, and the client should
     * retry.
     */
    static void sendUnavailable(ServerExchange exchange) {
        exchange.respond(
                SERVICE_UNAVAILABLE, new Headers().add("Retry-After", RETRY_AFTER_S), NO_BODY);
    }

    /** Responds with an error status and a JSON object that contains the reason. */
    static void sendError(ServerExchange exchange, int status, String reason) {
        sendJson(exchange, status, JsonCodec.serialize(Map.of("error", reason)));
    }

    /** Acknowledges the request with an empty JSON object. */
    static void sendAcknowledgement(ServerExchange exchange) {
        sendJson(exchange, OK, JsonCodec.serialize(Map.of()));
    }

    /** Responds with a JSON document. */
    static void sendJson(ServerExchange exchange, int status, byte[] document) {
        exchange.respond(status, new Headers().add("Content-Type", "application/json"), document);
    }

    /** Responds without a body. */
    static void sendEmpty(ServerExchange exchange, int status) {
        exchange.respond(status, new Headers(), NO_BODY);
    }
}
