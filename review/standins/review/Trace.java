package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What clients sent and got, and what upstreams ran, with times; written to a file as it happens. */
final class Trace implements AutoCloseable {
    /** One try of a client. */
    static final class Try {
        final String id;
        volatile int runs;
        volatile int upstreamStatus;
        volatile int clientStatus;
        volatile boolean signed;

        Try(String id) {
            this.id = id;
        }
    }

    final Map<String, Try> tries = new ConcurrentHashMap<>();
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Trace(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    Try get(String id) {
        return tries.computeIfAbsent(id, Try::new);
    }

    void sent(String id, String what) {
        get(id);
        line("client sends " + id + " " + what);
    }

    void ran(String id, String upstream) {
        Try known = get(id);
        synchronized (known) {
            known.runs++;
        }
        line("upstream " + upstream + " runs " + id);
    }

    void answeredByUpstream(String id, int status) {
        get(id).upstreamStatus = status;
        line("upstream answers " + id + " with " + status);
    }

    void turnedAway(String id, String upstream) {
        line("upstream " + upstream + " turns away " + id);
    }

    void got(String id, Http.Answer answer) {
        Try known = get(id);
        known.clientStatus = answer.status;
        known.signed = Upstream.signature(id).equals(answer.header(Upstream.SIGNATURE));
        line("client gets " + answer.status + " to " + id + " " + answer.headers);
    }

    void gotNothing(String id, String what) {
        line("client gets no answer to " + id + ": " + what);
    }

    void note(String what, byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        line(what + ": " + text.replace("\r", "\\r").replace("\n", "\\n"));
    }

    synchronized void line(String text) {
        long ms = (System.nanoTime() - startNanos) / 1_000_000;
        out.printf("%7.3f %s%n", ms / 1_000.0, text);
    }

    synchronized void flush() {
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
