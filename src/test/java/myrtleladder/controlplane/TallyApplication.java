package myrtleladder.controlplane;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.ToIntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import myrtleladder.controlplane.TallyHistory.Outcome;

/**
 * An application in a zone, on its own thread, that adds to tallies and reads them. It calls nodes
 * of its zone first and retries a failed addition with the same id at other nodes. It reuses its
 * connections.
 */
final class TallyApplication implements AutoCloseable {
    static final List<String> TALLIES = List.of("t0", "t1", "t2");

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_ATTEMPTS = 6;
    private static final int MAX_AMOUNT = 9;
    private static final long PAUSE_MS = 40;

    /** The percentage of additions that are sent again after they were acknowledged. */
    private static final int REPEATED_PERCENT = 5;

    private static final Pattern TOTAL = Pattern.compile("\"total\"\\s*:\\s*(\\d+)");

    private final String name;
    private final TallyHistory history;
    private final ToIntFunction<String> incarnationOf;
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final List<String> nearNodes;
    private final List<String> farNodes = new ArrayList<>();
    private final Random random;
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Thread thread;
    private volatile boolean running = true;

    /** The response of a node; {@code incarnation} is that of the process during the call. */
    private record Answer(int status, String body, int incarnation, long invokedNs, long endedNs) {}

    private static final int NOT_SENT = -1;
    private static final int NO_ANSWER = 0;

    /** Starts an application; {@code incarnationOf} returns how often a node was restarted. */
    TallyApplication(
            String name,
            String zone,
            ControlTopology topology,
            ControlProcesses processes,
            TallyHistory history,
            ToIntFunction<String> incarnationOf,
            long seed) {
        this.name = name;
        this.history = history;
        this.incarnationOf = incarnationOf;
        this.random = new Random(seed * 31 + name.hashCode());
        nearNodes = new ArrayList<>(topology.namesIn(zone));
        for (String node : topology.names()) {
            addresses.put(node, processes.addressFor(zone, node));
            if (!nearNodes.contains(node)) {
                farNodes.add(node);
            }
        }
        thread = new Thread(this::run, name);
        thread.start();
    }

    private void run() {
        try {
            for (int round = 0; running; round++) {
                add(name + "-" + round);
                String node = random.nextInt(3) == 0 ? anyNode() : nodesByDistance().get(0);
                read(node, anyTally());
                Thread.sleep(random.nextLong(2 * PAUSE_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String anyNode() {
        List<String> all = new ArrayList<>(addresses.keySet());
        return all.get(random.nextInt(all.size()));
    }

    private String anyTally() {
        return TALLIES.get(random.nextInt(TALLIES.size()));
    }

    private List<String> nodesByDistance() {
        Collections.shuffle(nearNodes, random);
        Collections.shuffle(farNodes, random);
        List<String> nodes = new ArrayList<>(nearNodes);
        nodes.addAll(farNodes);
        return nodes;
    }

    private void add(String id) throws InterruptedException {
        String tally = anyTally();
        long amount = 1 + random.nextLong(MAX_AMOUNT);
        List<String> nodes = nodesByDistance();
        boolean isRepeated = random.nextInt(100) < REPEATED_PERCENT;
        for (int attempt = 0; running && attempt < MAX_ATTEMPTS; attempt++) {
            Outcome outcome = addAt(nodes.get(attempt % nodes.size()), tally, id, amount);
            if (outcome == Outcome.ACKNOWLEDGED) {
                if (isRepeated) {
                    addAt(anyNode(), tally, id, amount);
                }
                return;
            }
        }
    }

    private Outcome addAt(String node, String tally, String id, long amount)
            throws InterruptedException {
        String body = "{\"id\":\"%s\",\"owner\":%d}".formatted(id, amount);
        Answer answer = call(node, "POST", tally, body);
        Outcome outcome = outcomeOf(answer.status);
        history.record(
                new TallyHistory.Addition(
                        tally,
                        id,
                        amount,
                        node,
                        answer.incarnation,
                        answer.invokedNs,
                        answer.endedNs,
                        outcome));
        return outcome;
    }

    private static Outcome outcomeOf(int status) {
        if (status >= 200 && status < 300) {
            return Outcome.ACKNOWLEDGED;
        }
        boolean isRefused = status == 503 || (status >= 400 && status < 500);
        return isRefused || status == NOT_SENT ? Outcome.REFUSED : Outcome.UNKNOWN;
    }

    /** Reads the total at a node, empty if the node does not return one. */
    OptionalLong read(String node, String tally) throws InterruptedException {
        Answer answer = call(node, "GET", tally, "");
        Matcher total = TOTAL.matcher(answer.body);
        if (answer.status != 200 || !total.find()) {
            return OptionalLong.empty();
        }
        long value = Long.parseLong(total.group(1));
        history.record(
                new TallyHistory.Reading(
                        tally, node, answer.incarnation, answer.invokedNs, answer.endedNs, value));
        return OptionalLong.of(value);
    }

    private Answer call(String node, String method, String tally, String body)
            throws InterruptedException {
        InetSocketAddress address = addresses.get(node);
        String uri =
                "http://%s:%d/tallies/%s"
                        .formatted(address.getAddress().getHostAddress(), address.getPort(), tally);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(uri))
                        .timeout(CALL_TIMEOUT)
                        .header("Content-Type", "application/json")
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        int incarnationBefore = incarnationOf.applyAsInt(node);
        long invokedNs = System.nanoTime();
        int status;
        String content = "";
        try {
            HttpResponse<String> response =
                    http.send(request, HttpResponse.BodyHandlers.ofString());
            status = response.statusCode();
            content = response.body();
        } catch (ConnectException e) {
            status = NOT_SENT;
        } catch (IOException e) {
            status = NO_ANSWER;
        }
        long endedNs = System.nanoTime();
        boolean isSameIncarnation = incarnationBefore == incarnationOf.applyAsInt(node);
        int incarnation = isSameIncarnation ? incarnationBefore : TallyHistory.UNKNOWN_INCARNATION;
        return new Answer(status, content, incarnation, invokedNs, endedNs);
    }

    /** Stops the thread; {@link #read} may still be called. */
    @Override
    public void close() {
        running = false;
        Uninterruptibles.joinUninterruptibly(thread);
    }
}
