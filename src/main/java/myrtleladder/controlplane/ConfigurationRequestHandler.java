package myrtleladder.controlplane;

import java.util.Map;
import java.util.Optional;
import myrtleladder.configuration.Compression;
import myrtleladder.configuration.ConfigurationDocument;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.http.ServerExchange;
import myrtleladder.replication.Replica;
import myrtleladder.replication.StateChange;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Handles {@code GET}, {@code PUT} and {@code PATCH /config} on the primary. A change is processed
 * in these steps:
 *
 * <ol>
 *   <li>it waits for the requests before it and for the confirmation that this node is still
 *       primary ({@link OperatorRequestQueue});
 *   <li>it is validated against the committed configuration ({@link ChangeValidation});
 *   <li>all replicas of the view store it ({@link Replica#submit});
 *   <li>it becomes the {@link CommittedConfiguration}, whose listener sends it to the balancers
 *       with a waiting {@link LongPoll};
 *   <li>it is acknowledged.
 * </ol>
 *
 * <p>If the outcome is unknown, the response is 503 and the operator retries the same request.
 * Confined to the event loop.
 */
final class ConfigurationRequestHandler {
    private static final Logger LOG = LogManager.getLogger(ConfigurationRequestHandler.class);

    private final OperatorRequestQueue queue;
    private final CommittedConfiguration committed;
    private Replica replica;

    ConfigurationRequestHandler(OperatorRequestQueue queue, CommittedConfiguration committed) {
        this.queue = queue;
        this.committed = committed;
    }

    /** Sets the replica that stores the configuration. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Queues a request. */
    void handle(ServerExchange exchange) {
        ConfigurationRequest request = ConfigurationRequest.of(exchange);
        queue.add(exchange, () -> process(request));
    }

    /**
     * Processes a request, after a majority has confirmed since its arrival that this node is
     * primary.
     */
    private Optional<ProposedChange> process(ConfigurationRequest request) {
        if (request.isReplacement() || request.isPatch()) {
            return processChange(request);
        }
        if (request.isRead()) {
            respondWithDocument(request.exchange());
        } else {
            HttpResponses.sendEmpty(request.exchange(), HttpResponses.METHOD_NOT_ALLOWED);
        }
        return Optional.empty();
    }

    private void respondWithDocument(ServerExchange exchange) {
        if (committed.isEmpty()) {
            HttpResponses.sendEmpty(exchange, HttpResponses.NOT_FOUND);
        } else {
            HttpResponses.sendJson(exchange, HttpResponses.OK, committed.documentBytes());
        }
    }

    private Optional<ProposedChange> processChange(ConfigurationRequest request) {
        ChangeValidation validation = ChangeValidation.validate(request, committed);
        if (validation instanceof ChangeValidation.Valid valid) {
            return Optional.of(
                    new ProposedChange(changeTo(valid.next(), request), () -> commit(request)));
        }
        if (validation instanceof ChangeValidation.Rejected rejected) {
            HttpResponses.sendError(request.exchange(), rejected.status(), rejected.reason());
        } else {
            acknowledge(request);
        }
        return Optional.empty();
    }

    private static StateChange changeTo(ConfigurationDocument next, ConfigurationRequest request) {
        return StateChange.ofDocument(
                Compression.deflate(next.bytes()), next.generation(), request.digest());
    }

    private void commit(ConfigurationRequest request) {
        committed.commit(replica.snapshot());
        LOG.info(
                "committed configuration generation {} in epoch {}",
                committed.generation(),
                replica.epoch());
        acknowledge(request);
    }

    private void acknowledge(ConfigurationRequest request) {
        byte[] body = JsonCodec.serialize(Map.of("generation", committed.generation()));
        HttpResponses.sendJson(request.exchange(), HttpResponses.OK, body);
    }
}
