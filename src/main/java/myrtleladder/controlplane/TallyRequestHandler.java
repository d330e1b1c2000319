package myrtleladder.controlplane;

import java.util.Map;
import java.util.OptionalLong;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.http.ServerExchange;
import myrtleladder.result.ResultException;
import myrtleladder.tally.AdditionResult;
import myrtleladder.tally.Tallies;

/**
 * Handles {@code POST} and {@code GET /tallies/NAME} on every node, primary or not. A response with
 * status 503 means that the request had no effect. Status 504 means that it is unknown whether the
 * addition counts; the request may be retried with the same id.
 *
 * <p>Confined to the event loop.
 */
final class TallyRequestHandler {
    private static final String ID_FIELD = "id";

    /** The request field with the amount to add, named so because applications depend on it. */
    private static final String AMOUNT_FIELD = "owner";

    /** Maximum length of a tally name and of an id, in characters. */
    private static final int MAX_NAME_OR_ID_LENGTH = 128;

    private final Tallies tallies;

    TallyRequestHandler(Tallies tallies) {
        this.tallies = tallies;
    }

    /** Handles a request for the tally with the given name. */
    void handle(ServerExchange exchange, String name) {
        String method = exchange.head().method();
        if (name.isEmpty() || name.length() > MAX_NAME_OR_ID_LENGTH) {
            HttpResponses.sendEmpty(exchange, HttpResponses.NOT_FOUND);
        } else if (method.equals("GET")) {
            respondWithTotal(exchange, name);
        } else if (method.equals("POST")) {
            add(exchange, name);
        } else {
            HttpResponses.sendEmpty(exchange, HttpResponses.METHOD_NOT_ALLOWED);
        }
    }

    private void respondWithTotal(ServerExchange exchange, String name) {
        OptionalLong total = tallies.total(name);
        if (total.isPresent()) {
            byte[] body = JsonCodec.serialize(Map.of("total", total.getAsLong()));
            HttpResponses.sendJson(exchange, HttpResponses.OK, body);
        } else {
            HttpResponses.sendUnavailable(exchange);
        }
    }

    private void add(ServerExchange exchange, String name) {
        Map<String, Object> json;
        try {
            json = JsonCodec.parseObject(exchange.body());
        } catch (ResultException e) {
            HttpResponses.sendError(exchange, HttpResponses.BAD_REQUEST, e.getMessage());
            return;
        }
        boolean isIdValid =
                json.get(ID_FIELD) instanceof String id
                        && !id.isEmpty()
                        && id.length() <= MAX_NAME_OR_ID_LENGTH;
        boolean isAmountValid = json.get(AMOUNT_FIELD) instanceof Long amount && amount >= 0;
        if (isIdValid && isAmountValid) {
            String id = (String) json.get(ID_FIELD);
            long amount = (Long) json.get(AMOUNT_FIELD);
            tallies.add(name, id, amount, result -> respond(exchange, result));
        } else {
            HttpResponses.sendError(
                    exchange, HttpResponses.BAD_REQUEST, "an id and a whole number are expected");
        }
    }

    private static void respond(ServerExchange exchange, AdditionResult result) {
        if (result == AdditionResult.ACKNOWLEDGED) {
            HttpResponses.sendAcknowledgement(exchange);
        } else if (result == AdditionResult.REFUSED) {
            HttpResponses.sendUnavailable(exchange);
        } else {
            HttpResponses.sendEmpty(exchange, HttpResponses.GATEWAY_TIMEOUT);
        }
    }
}
