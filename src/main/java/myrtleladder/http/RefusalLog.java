package myrtleladder.http;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Counts refused clients by the port of the server and the reason, and writes them to the log: a
 * summary now and then, and single clients that were closed because of unread answers.
 *
 * <p>Threading: confined to the event loop.
 */
final class RefusalLog {
    /** Shortest interval between two summaries. */
    private static final long SUMMARY_INTERVAL_MS = 10_000;

    /** Shortest interval between two lines about single clients. */
    private static final long CLIENT_INTERVAL_MS = 1_000;

    private final Consumer<String> log;
    private final Map<Integer, Map<Refusal, Long>> countsByPort = new TreeMap<>();
    private boolean isChanged;
    private long summaryAtMs;
    private long clientAtMs;
    private long unnamedClients;

    RefusalLog(long nowMs, Consumer<String> log) {
        this.log = log;
        this.summaryAtMs = nowMs - SUMMARY_INTERVAL_MS;
        this.clientAtMs = nowMs - CLIENT_INTERVAL_MS;
    }

    void count(int port, Refusal reason) {
        countsByPort
                .computeIfAbsent(port, ignored -> new EnumMap<>(Refusal.class))
                .merge(reason, 1L, Long::sum);
        isChanged = true;
    }

    /** Counts a client that was closed because of an unread answer, and names it in the log. */
    void countClosed(UnreadAnswer closed, long nowMs) {
        count(closed.port(), closed.reason());
        if (nowMs - clientAtMs < CLIENT_INTERVAL_MS) {
            unnamedClients++;
            return;
        }
        String others = unnamedClients == 0 ? "" : "; %d others before".formatted(unnamedClients);
        log.accept(closed.describe() + others);
        clientAtMs = nowMs;
        unnamedClients = 0;
    }

    /** Returns how often clients of all ports were refused for a reason. */
    long count(Refusal reason) {
        return countsByPort.values().stream()
                .mapToLong(counts -> counts.getOrDefault(reason, 0L))
                .sum();
    }

    /** Writes all counts to the log if they have changed, with a text on what is in use. */
    void writeSummary(String usage, long nowMs) {
        if (!isChanged || nowMs - summaryAtMs < SUMMARY_INTERVAL_MS) {
            return;
        }
        isChanged = false;
        summaryAtMs = nowMs;
        log.accept(
                "clients refused since the start, by port: %s; %s".formatted(countsByPort, usage));
    }
}
