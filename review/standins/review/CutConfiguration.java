package review;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * An operator sends configurations that are cut short inside a character or an escape, among proper
 * changes. CONFIG: the configuration read back at the end doesn't come.
 */
final class CutConfiguration {
    /** Count and pause of the trouble bad_config. */
    private static final int BAD_COUNT = 3;

    private static final long BAD_PAUSE_MS = 1_000;

    /** How long a proper change is sent again: the bound ack_ms. */
    private static final long ACK_MS = 4_000;

    /** How long the configuration is asked for at the end; contact_ms is 3,000. */
    private static final long READ_MS = 15_000;

    private static final int CHANGES = 6;
    private static final String ROUTE_NAME = "\u09b9\u09be\u0993\u09dc\u09be";

    private CutConfiguration() {}

    /**
     * Runs the case.
     *
     * @param arguments the root of the repository and the file of the record
     */
    public static void main(String[] arguments) {
        Cases.run(arguments, Traffic.configuration(), CutConfiguration::play);
    }

    private static int play(Fleet fleet, Trace trace) throws Exception {
        long generation = 7;
        int unacknowledged = 0;
        for (int i = 0; i < CHANGES; i++) {
            if (i == 2 && Cases.withTrouble()) {
                sendBad(fleet, trace, generation);
            }
            byte[] patch = patch(generation + 2, "/idle" + i + "/");
            Http.Answer answer = change(fleet, trace, generation, patch, ACK_MS);
            if (answer != null && answer.status == 200) {
                generation += 2;
            } else {
                unacknowledged++;
            }
            Thread.sleep(1_500);
        }
        Http.Answer read = fleet.order("GET", "/config", "", "", READ_MS);
        String got = read == null ? "no answer" : String.valueOf(read.status);
        trace.line("operator reads the configuration for " + READ_MS + " ms and gets " + got);
        boolean came = read != null && read.status == 200;
        String text = came ? new String(read.body, StandardCharsets.UTF_8) : "";
        boolean newest = text.contains("\"generation\":" + generation);
        for (Fleet.Machine core : fleet.cores()) {
            trace.line(core.name + (core.isAlive() ? " runs" : " has ended"));
        }
        String result =
                CHANGES - unacknowledged + " of " + CHANGES + " proper changes acknowledged within "
                        + ACK_MS + " ms; the configuration read back at the end: "
                        + (newest ? "the newest" : came ? "an older one" : "doesn't come (" + got
                        + ")");
        return Cases.result(trace, 1, newest ? 0 : 1, result);
    }

    /** Sends configurations that end inside a character or behind the backslash of an escape. */
    private static void sendBad(Fleet fleet, Trace trace, long generation) throws Exception {
        for (int i = 0; i < BAD_COUNT; i++) {
            byte[] whole = patch(generation + 2, "/bad" + i + "/");
            int character = indexOf(whole, ROUTE_NAME.getBytes(StandardCharsets.UTF_8));
            int escape = indexOf(whole, new byte[] {'\\', '/'});
            byte[] cut = Arrays.copyOf(whole, i == 1 ? escape + 1 : character + 3 * i + 2);
            change(fleet, trace, generation, cut, BAD_PAUSE_MS);
            Thread.sleep(BAD_PAUSE_MS);
        }
    }

    private static int indexOf(byte[] bytes, byte[] part) {
        for (int i = 0; i + part.length <= bytes.length; i++) {
            if (Arrays.equals(bytes, i, i + part.length, part, 0, part.length)) {
                return i;
            }
        }
        throw new IllegalArgumentException("not contained");
    }

    private static byte[] patch(long generation, String prefix) {
        String text =
                "{\"generation\":" + generation + ",\"upsert\":{\"routes\":[{\"name\":\"r-"
                        + ROUTE_NAME + "\",\"hostname\":\"idle.example\",\"path_prefix\":\"" + prefix.replace("/", "\\/")
                        + "\",\"type\":\"non_idempotent\",\"timeout_ms\":1000,"
                        + "\"target_latency_ms\":193,\"priority\":2,\"backend\":\"certdesk\","
                        + "\"retries\":1,\"public\":false}]}}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Http.Answer change(
            Fleet fleet, Trace trace, long generation, byte[] patch, long timeoutMs)
            throws Exception {
        trace.note("operator sends PATCH /config, If-Match " + generation, patch);
        String body = new String(patch, StandardCharsets.ISO_8859_1);
        long sentAt = System.nanoTime();
        Http.Answer answer =
                fleet.order("PATCH", "/config", "If-Match: " + generation + "\r\n", body, timeoutMs);
        long tookMs = (System.nanoTime() - sentAt) / 1_000_000;
        String got =
                answer == null
                        ? "no answer"
                        : answer.status + " " + new String(answer.body, StandardCharsets.UTF_8);
        trace.line("operator gets after " + tookMs + " ms: " + got);
        return answer;
    }
}
