package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An upstream of the certificate service as PROTOCOL.md describes it: 6 slots and a queue, turns
 * requests away with {@code Myrtleladder-Not-Executed}, echoes the attempt id, registers itself.
 */
final class Upstream implements AutoCloseable {
    /** Bytes that an upstream in trouble sends beside its answers. */
    interface Trouble {
        /**
         * Returns what this upstream sends after the request arrived and before its answer; null
         * for nothing.
         *
         * @param turnedAwayId id of an earlier request that this upstream turned away, or null
         * @param first whether the request is the first one on its connection
         */
        default byte[] beforeAnswer(String turnedAwayId, boolean first) {
            return null;
        }

        /** Returns what this upstream sends right after a whole answer; null for nothing. */
        default byte[] afterAnswer() {
            return null;
        }
    }

    static final String SIGNATURE = "myrtleladder-upstream-signature";
    private static final int SLOTS = 6;

    final String id;
    private final Fleet fleet;
    private final String zone;
    private final String service;
    private final String address;
    private final Trace record;
    private final Trouble trouble;
    private final double errorShare;
    private final int queueLimit;
    private final ServerSocket server;
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private final ArrayDeque<String> turnedAway = new ArrayDeque<>();
    private final Random random = new Random();
    private volatile boolean closed;

    Upstream(
            Fleet fleet,
            String service,
            int number,
            int queueLimit,
            double errorShare,
            Trace record,
            Trouble trouble)
            throws IOException {
        this.fleet = fleet;
        this.service = service;
        this.zone = Fleet.ZONES[number % Fleet.ZONES.length];
        this.record = record;
        this.trouble = trouble;
        this.errorShare = errorShare;
        this.queueLimit = queueLimit;
        this.id = "i-" + Long.toHexString(random.nextLong() & 0xffffffffL) + number;
        this.server = new ServerSocket();
        this.server.bind(new InetSocketAddress(fleet.ip(80 + number), fleet.frontendPort), 200);
        this.address = fleet.ip(80 + number) + ":" + fleet.frontendPort;
        startThread(this::accept);
        startThread(this::heartbeats);
    }

    static void startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void heartbeats() {
        while (!closed) {
            try {
                String body =
                        "{\"backend\":\"" + service + "\",\"address\":\"" + address
                                + "\",\"zone\":\"" + zone + "\",\"generation\":\"v1\","
                                + "\"capacity\":" + SLOTS + ",\"state\":\"ready\","
                                + "\"warmup_left_ms\":0,\"sequence\":"
                                + sequence.incrementAndGet() + "}";
                fleet.order("PUT", "/instances/" + id, "", body, 3_000);
                Thread.sleep(1_200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                startThread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean first = true;
            Http.Message request = Http.readRequest(in);
            while (request != null) {
                answer(request, out, first);
                first = false;
                request = Http.readRequest(in);
            }
        } catch (IOException e) {
            // the balancer has closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(Http.Message request, OutputStream out, boolean first)
            throws IOException, InterruptedException {
        String attempt = request.header("myrtleladder-attempt-id");
        String expected = request.header("myrtleladder-expect-instance");
        if (expected != null && !expected.equals(id)) {
            turnAway(out, attempt, "421 Misdirected Request");
            return;
        }
        long deadlineMs = Long.parseLong(request.headers.getOrDefault(
                "myrtleladder-deadline-ms", "1000"));
        if (!slots.tryAcquire()) {
            if (waiting.incrementAndGet() > queueLimit) {
                waiting.decrementAndGet();
                turnAway(out, attempt, "503 Service Unavailable");
                return;
            }
            boolean acquired = slots.tryAcquire(deadlineMs, TimeUnit.MILLISECONDS);
            waiting.decrementAndGet();
            if (!acquired) {
                turnAway(out, attempt, "503 Service Unavailable");
                return;
            }
        }
        boolean error;
        try {
            record.ran(attempt, id);
            String earlier;
            synchronized (turnedAway) {
                earlier = turnedAway.peek();
            }
            byte[] extra = trouble.beforeAnswer(earlier, first);
            if (extra != null) {
                synchronized (turnedAway) {
                    turnedAway.poll();
                }
                record.note("upstream " + id + " sends beside the answer to " + attempt, extra);
                out.write(extra);
                out.flush();
            }
            error = random.nextDouble() < errorShare;
            Thread.sleep(20 + random.nextInt(46));
        } finally {
            slots.release();
        }
        String status = error ? "500 Internal Server Error" : "200 OK";
        record.answeredByUpstream(attempt, error ? 500 : 200);
        String body = "certificate " + attempt + " ".repeat(700) + "end";
        byte[] whole =
                Fleet.ascii(
                        "HTTP/1.1 " + status + "\r\nMyrtleladder-Attempt-Id: " + attempt
                                + "\r\nMyrtleladder-Upstream-Signature: " + signature(attempt)
                                + "\r\n" + load() + "Content-Type: text/plain\r\nContent-Length: "
                                + body.length() + "\r\n\r\n" + body);
        out.write(whole);
        out.flush();
        byte[] more = trouble.afterAnswer();
        if (more != null) {
            record.note("upstream " + id + " sends more after the answer to " + attempt, more);
            out.write(more);
            out.flush();
        }
    }

    static String signature(String attempt) {
        return "3e1b." + attempt;
    }

    private String load() {
        int running = SLOTS - slots.availablePermits();
        return "Myrtleladder-Upstream-Load: " + running + "," + waiting.get() + "," + SLOTS
                + "\r\n";
    }

    private void turnAway(OutputStream out, String attempt, String status) throws IOException {
        record.turnedAway(attempt, id);
        synchronized (turnedAway) {
            turnedAway.add(attempt);
        }
        out.write(rejection(attempt, status));
        out.flush();
    }

    /** Returns the answer to a request that is turned away. */
    static byte[] rejection(String attempt, String status) {
        return Fleet.ascii(
                "HTTP/1.1 " + status + "\r\nMyrtleladder-Not-Executed: 1\r\n"
                        + "Myrtleladder-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n");
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
