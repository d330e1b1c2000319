package myrtleladder.controlplane;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.Map;
import myrtleladder.configuration.Compression;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.ConfigurationDocument;
import myrtleladder.configuration.ConfigurationException;
import myrtleladder.configuration.Json;
import myrtleladder.io.ResultCode;
import myrtleladder.io.Scheduler;
import myrtleladder.io.ServerExchange;
import myrtleladder.protocol.Snapshot;
import myrtleladder.replication.Replica;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The operator's orders, carried out one after the other by the primary: each is checked against
 * the committed document and acknowledged once the replicas have it.
 */
final class ConfigurationOrders {
    private static final Logger LOG = LogManager.getLogger(ConfigurationOrders.class);
    private static final long HOLD = 900;

    private final Scheduler scheduler;
    private final Listener listener;
    private final ArrayDeque<Order> orders = new ArrayDeque<>();
    private Replica replica;
    private Snapshot committed = new Snapshot();
    private boolean leading;
    private boolean working;

    /** An order of the operator that waits for its turn. */
    private record Order(ServerExchange exchange, String digest, long since) {}

    /** Who hears of configurations that are committed. */
    interface Listener {
        /** A configuration holds; {@code first} says that none did before. */
        void committed(Configuration configuration, boolean first);
    }

    ConfigurationOrders(Scheduler scheduler, Listener listener) {
        this.scheduler = scheduler;
        this.listener = listener;
    }

    /** Gives the replica that keeps the document. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** What is committed as far as this node knows. */
    Snapshot committed() {
        return committed;
    }

    /** This node is primary, with what its replica has. */
    void lead() {
        leading = true;
        working = false;
        commit(false);
    }

    /** This node is primary no more: whoever waits asks the next one. */
    void follow() {
        leading = false;
        working = false;
        while (!orders.isEmpty()) {
            CallerAnswers.redirect(orders.poll().exchange(), replica);
        }
    }

    /** Gives up orders that have waited for too long and takes the next one. */
    void time(long now) {
        while (!orders.isEmpty() && now - orders.peek().since() > HOLD) {
            CallerAnswers.unclear(orders.poll().exchange());
        }
        work();
    }

    /** Takes an order or a read of the operator. */
    void take(ServerExchange exchange) {
        if (!leading) {
            CallerAnswers.redirect(exchange, replica);
            return;
        }
        orders.add(new Order(exchange, digest(exchange), scheduler.now()));
        work();
    }

    private static String digest(ServerExchange exchange) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String line =
                    exchange.head().method()
                            + " "
                            + exchange.head().headers().get("If-Match")
                            + "\n";
            digest.update(line.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(exchange.body()), 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each platform has SHA-256", e);
        }
    }

    /** Takes the next order: first a majority confirms that this node still is primary. */
    private void work() {
        if (working || !leading || orders.isEmpty() || replica.isBusy()) {
            return;
        }
        working = true;
        Order order = orders.poll();
        replica.confirm(
                confirmed -> {
                    if (!confirmed) {
                        CallerAnswers.unclear(order.exchange());
                        worked();
                    } else {
                        carryOut(order);
                    }
                });
    }

    private void worked() {
        working = false;
        work();
    }

    private void carryOut(Order order) {
        ServerExchange exchange = order.exchange();
        String method = exchange.head().method();
        if (method.equals("GET")) {
            respondWithDocument(exchange);
            worked();
            return;
        }
        if (!method.equals("PUT") && !method.equals("PATCH")) {
            CallerAnswers.empty(exchange, 405);
            worked();
            return;
        }
        if (committed.changeDigests.contains(order.digest())) {
            CallerAnswers.document(exchange, 200, acknowledged());
            worked();
            return;
        }
        String match = exchange.head().headers().get("If-Match");
        if (match != null
                && !match.replace("\"", "").trim().equals(Long.toString(committed.generation))) {
            CallerAnswers.refuse(
                    exchange,
                    412,
                    ResultCode.STALE_MATCH.label()
                            + ": generation "
                            + committed.generation
                            + " is current");
            worked();
            return;
        }
        try {
            ConfigurationDocument current = document();
            ConfigurationDocument next =
                    method.equals("PUT")
                            ? current.replacedBy(exchange.body())
                            : current.changedBy(exchange.body());
            submit(order, next);
        } catch (ConfigurationException e) {
            CallerAnswers.refuse(exchange, 400, e.getMessage());
            worked();
        }
    }

    private void submit(Order order, ConfigurationDocument next) {
        replica.submit(
                Compression.deflate(next.bytes()),
                next.generation(),
                order.digest(),
                taken -> {
                    if (taken) {
                        commit(true);
                        LOG.info(
                                "generation {} is committed in epoch {}",
                                committed.generation,
                                replica.epoch());
                        CallerAnswers.document(order.exchange(), 200, acknowledged());
                    } else {
                        CallerAnswers.unclear(order.exchange());
                    }
                    worked();
                });
    }

    private void commit(boolean byOrder) {
        boolean first = byOrder && committed.generation == 0;
        committed = replica.snapshot();
        if (committed.generation > 0) {
            listener.committed(document().configuration(), first);
        }
    }

    private ConfigurationDocument document() {
        return ConfigurationDocument.stored(
                Compression.inflate(committed.document), committed.generation);
    }

    private byte[] acknowledged() {
        return Json.write(Map.of("generation", committed.generation));
    }

    private void respondWithDocument(ServerExchange exchange) {
        if (committed.generation == 0) {
            CallerAnswers.empty(exchange, 404);
        } else {
            CallerAnswers.document(exchange, 200, Compression.inflate(committed.document));
        }
    }
}
