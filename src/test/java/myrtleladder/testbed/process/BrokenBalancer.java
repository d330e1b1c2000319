package myrtleladder.testbed.process;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import myrtleladder.testbed.checker.Violation.Kind;

/** A balancer that is wrong in one way, on purpose: so that the checker is seen to find it. */
public final class BrokenBalancer {
    private static final Pattern ENTRY =
            Pattern.compile(
                    "\"addr\":\"([^\"]+)\".*?\"state\":\"([^\"]+)\".*?\"started_ms\":(\\d+)");
    private static final int EVERY = 5;

    private final Kind wrong;
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicInteger count = new AtomicInteger();
    private volatile List<String> upstreams = List.of();

    private BrokenBalancer(Kind wrong) {
        this.wrong = wrong;
    }

    /** Serves as the configuration says, but breaks the rule that is named. */
    public static void main(String[] args) throws Exception {
        BrokenBalancer balancer = new BrokenBalancer(Kind.valueOf(args[0]));
        String config = Files.readString(Path.of(System.getenv("NODE_CONFIG")));
        balancer.take(config);
        String discovery = find(config, "discovery");
        ScheduledExecutorService poll = Executors.newSingleThreadScheduledExecutor();
        poll.scheduleWithFixedDelay(() -> balancer.poll(discovery), 0, 50, TimeUnit.MILLISECONDS);
        String[] listen = find(config, "listen").split(":");
        HttpServer server =
                HttpServer.create(
                        new InetSocketAddress(listen[0], Integer.parseInt(listen[1])), 100);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", balancer::serve);
        server.start();
    }

    private static String find(String config, String field) {
        Matcher m = Pattern.compile("\"" + field + "\":\"([0-9.:]+)\"").matcher(config);
        return m.find() ? m.group(1) : "";
    }

    private void take(String list) {
        List<String> found = new ArrayList<>();
        List<String> young = new ArrayList<>();
        for (Matcher m = ENTRY.matcher(list); m.find(); ) {
            if (m.group(2).equals("Ready")) {
                found.add(m.group(1));
                if (!m.group(3).equals("0")) {
                    young.add(m.group(1));
                }
            }
        }
        upstreams = wrong == Kind.COLD_OVERRUN && !young.isEmpty() ? young : found;
    }

    private void poll(String discovery) {
        try {
            String list =
                    http.send(
                                    HttpRequest.newBuilder(
                                                    URI.create(
                                                            "http://" + discovery + "/v1/servers"))
                                            .build(),
                                    HttpResponse.BodyHandlers.ofString())
                            .body();
            if (wrong != Kind.AFTER_DRAIN) { // which hears of a drain and goes on as before
                take(list);
            }
        } catch (IOException e) {
            System.err.println("no list: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (exchange.getRequestURI().getPath().equals("/healthz")) {
            answer(exchange, 200, new byte[0]);
            return;
        }
        boolean now = count.incrementAndGet() % EVERY == 0;
        if (now && wrong == Kind.LOST) {
            return; // and never a word
        }
        try {
            HttpResponse<byte[]> answer =
                    forward(exchange, body, now && wrong == Kind.FOREIGN ? "x" : "");
            if (now && wrong == Kind.DOUBLE) {
                answer = forward(exchange, body, "");
            }
            answer(
                    exchange,
                    answer.statusCode(),
                    now && wrong == Kind.SPOILT ? new byte[] {'?'} : answer.body());
        } catch (IOException e) {
            answer(exchange, 502, new byte[0]);
        }
    }

    private HttpResponse<byte[]> forward(HttpExchange exchange, byte[] body, String suffix)
            throws IOException {
        List<String> known = upstreams;
        String to = known.get(count.get() % known.size());
        long left = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Time-Left-Ms"));
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + to + exchange.getRequestURI()))
                        .method(
                                exchange.getRequestMethod(),
                                HttpRequest.BodyPublishers.ofByteArray(body));
        for (String name : List.of("X-Correlation-Id", "X-Time-Left-Ms", "Idempotency-Key")) {
            String value = exchange.getRequestHeaders().getFirst(name);
            if (value != null) {
                request.header(name, name.startsWith("X-C") ? value + suffix : value);
            }
        }
        return send(request.build(), Math.max(1, left));
    }

    /**
     * Waits for an answer. An upstream that is pushed answers late; to wait beyond the request's
     * time breaks one rule more. The client's own timeout does not bound the wait: it begins anew
     * when the client repeats a GET whose connection was reset.
     */
    private HttpResponse<byte[]> send(HttpRequest request, long timeoutMs) throws IOException {
        CompletableFuture<HttpResponse<byte[]>> answer =
                http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
        try {
            return answer.get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            answer.cancel(true);
            throw new IOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
