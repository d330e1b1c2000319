import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A balancer gets SIGTERM while the end of a stream that its upstream has finished still waits for the client. */
final class TermWhileReading {
    private static final int MOST_EVENTS = 700;
    private static final int EVENT_BYTES = 8_000;

    /** How many events fewer than make the balancer give a client up are sent. */
    private static final int SPARED_EVENTS = 6;
    private static final long DEADLINE_MS = 10_000;
    private static final long STALL_MS = 3_200;
    private static final long GRACE_MS = 8_000;

    /** What an upstream has sent for a request. */
    private static final class Progress {
        final int events;
        final CountDownLatch ended = new CountDownLatch(1);
        volatile int sent;
        volatile boolean cut;

        Progress(int events) {
            this.events = events;
        }
    }

    public static void main(String[] arguments) throws IOException {
        Lab.main(Path.of(arguments[0]), TermWhileReading::run);
    }

    private static int run(Lab lab) throws Exception {
        lab.start(1, 1, Lab.config(7).replace("\"type\":\"non_idempotent\"", "\"type\":\"streaming\",\"resumable\":false,\"gap_aim_ms\":400"));
        Map<String, Progress> work = new ConcurrentHashMap<>();
        for (int i = 0; i < 2; i++) {
            lab.new Upstream("wuno96b", 41 + i, 6, (request, out) -> {
                Progress progress = work.getOrDefault(request.id(), new Progress(1));
                out.write(("HTTP/1.1 200 OK\r\nMyrtleladder-Attempt-Id: " + request.id() + "\r\nMyrtleladder-Upstream-Signature: sig."
                        + request.id() + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                try {
                    for (int e = 0; e < progress.events; e++) {
                        String event = event(e);
                        out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.US_ASCII));
                        out.flush();
                        progress.sent++;
                        Lab.pause(3);
                    }
                    out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                } catch (IOException e) {
                    progress.cut = true;
                    throw e;
                } finally {
                    progress.ended.countDown();
                    lab.note("upstream " + request.upstream.id + " has sent " + progress.sent + " events for id " + request.id()
                            + (progress.cut ? ", then its connection was closed" : " and the end of the stream"));
                }
            });
        }
        lab.awaitService();
        Lab.Node balancer = lab.balancers.get(0);
        String probe = Lab.id();
        work.put(probe, new Progress(MOST_EVENTS));
        try (Socket socket = ask(lab, balancer, probe)) {
            work.get(probe).ended.await(8, TimeUnit.SECONDS);
        }
        int events = work.get(probe).cut ? work.get(probe).sent - SPARED_EVENTS : MOST_EVENTS;
        lab.note("a client that reads nothing: its stream " + (work.get(probe).cut ? "is given up" : "is kept") + "; the next one has " + events + " events");
        Lab.pause(1500);
        String id = Lab.id();
        Progress progress = new Progress(events);
        work.put(id, progress);
        long sentAtMs = lab.ms();
        try (Socket socket = ask(lab, balancer, id)) {
            if (!progress.ended.await(8, TimeUnit.SECONDS) || progress.cut) {
                throw new IOException("the upstream could not send its stream");
            }
            Lab.pause(100);
            long termAtMs = lab.ms();
            if (lab.trouble) {
                balancer.terminate();
            }
            Lab.pause(STALL_MS);
            lab.note("client reads again; the balancer " + (balancer.alive() ? "runs" : "has ended"));
            Lab.Answer answer = Lab.read(new BufferedInputStream(socket.getInputStream(), 65_536));
            String text = answer.text();
            int whole = 0;
            while (whole < events && text.contains("id: " + whole + "\n") && text.indexOf(event(whole)) >= 0) {
                whole++;
            }
            long tookMs = lab.ms() - sentAtMs;
            lab.note("client has status " + answer.status + ", " + whole + " of " + events + " events, complete=" + answer.complete + ", "
                    + tookMs + " ms after it sent the request, " + (lab.ms() - termAtMs) + " ms after the signal");
            if (answer.complete && whole == events) {
                return Lab.HELD;
            }
            if (!lab.trouble || tookMs >= DEADLINE_MS || lab.ms() - termAtMs > GRACE_MS + 1000) {
                throw new IOException("not a fair play");
            }
            return Lab.BROKEN;
        }
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n";
    }

    private static Socket ask(Lab lab, Lab.Node balancer, String id) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(8_192);
        socket.connect(new InetSocketAddress(balancer.ip, lab.frontPort), 1000);
        socket.setSoTimeout((int) DEADLINE_MS);
        OutputStream out = socket.getOutputStream();
        out.write(Lab.head("POST", "/puxa403/stream", Lab.clientHeaders(id, DEADLINE_MS), 0));
        lab.note("client sends POST /puxa403/stream id " + id + " and does not read yet");
        return socket;
    }
}
