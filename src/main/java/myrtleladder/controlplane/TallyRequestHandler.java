package myrtleladder.controlplane;

import java.util.Map;
import java.util.OptionalLong;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.http.ServerExchange;
import myrtleladder.result.ResultException;
import myrtleladder.tally.AdditionResult;
import myrtleladder.tally.Tallies;

/**
 * Handles {@code POST} and {@code GET /tallies/NAME} on every node, primary or not. 503 promises
 * that nothing was done; 504 leaves open whether an addition counts, and it may be sent again.
 *
 * <p>Confined to the event loop.
 */
final class TallyRequestHandler {
    private static final String ID_FIELD = "id";

    /** The field of an application's request that has the number to add. */
    private static final String AMOUNT_FIELD = "owner";

    /** Longest name of a tally and longest id, in characters. */
    private static final int MAX_NAME_LENGTH = 128;

    private final Tallies tallies;

    TallyRequestHandler(Tallies tallies) {
        this.tallies = tallies;
    }

    /** Accepts a request about the tally of this name. */
    void handle(ServerExchange exchange, String name) {
        String method = exchange.head().method();
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
            HttpResponses.empty(exchange, HttpResponses.NOT_FOUND);
        } else if (method.equals("GET")) {
            respondWithTotal(exchange, name);
        } else if (method.equals("POST")) {
            add(exchange, name);
        } else {
            HttpResponses.empty(exchange, HttpResponses.METHOD_NOT_ALLOWED);
        }
    }

    private void respondWithTotal(ServerExchange exchange, String name) {
        OptionalLong total = tallies.total(name);
        if (total.isPresent()) {
            byte[] body = JsonCodec.serialize(Map.of("total", total.getAsLong()));
            HttpResponses.json(exchange, HttpResponses.OK, body);
        } else {
            HttpResponses.unavailable(exchange);
        }
    }

    private void add(ServerExchange exchange, String name) {
        Map<String, Object> json;
        try {
            json = JsonCodec.parseObject(exchange.body());
        } catch (ResultException e) {
            HttpResponses.error(exchange, HttpResponses.BAD_REQUEST, e.getMessage());
            return;
        }
        boolean isIdValid =
                json.get(ID_FIELD) instanceof String id
                        && !id.isEmpty()
                        && id.length() <= MAX_NAME_LENGTH;
        boolean isAmountValid = json.get(AMOUNT_FIELD) instanceof Long amount && amount >= 0;
        if (isIdValid && isAmountValid) {
            String id = (String) json.get(ID_FIELD);
            long amount = (Long) json.get(AMOUNT_FIELD);
            tallies.add(name, id, amount, result -> respond(exchange, result));
        } else {
            HttpResponses.error(
                    exchange, HttpResponses.BAD_REQUEST, "an id and a whole number are expected");
        }
    }

    private static void respond(ServerExchange exchange, AdditionResult result) {
        if (result == AdditionResult.ACKNOWLEDGED) {
            HttpResponses.acknowledge(exchange);
        } else if (result == AdditionResult.REFUSED) {
            HttpResponses.unavailable(exchange);
        } else {
            HttpResponses.empty(exchange, HttpResponses.GATEWAY_TIMEOUT);
        }
    }
}
