package myrtleladder.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the log says about refused clients. */
class RefusalLogTest {
    private static final int CONTROL_PORT = 8367;
    private static final int INTERNAL_PORT = 7500;

    private final List<String> lines = new ArrayList<>();
    private final RefusalLog refusals = new RefusalLog(0, lines::add);

    private static UnreadAnswer unread(String client) {
        return new UnreadAnswer(client, CONTROL_PORT, Refusal.ANSWER_SHED, 95_000, 97_048, 130);
    }

    @Test
    void summaryCountsByPortAndReasonWhenACountHasChanged() {
        refusals.count(CONTROL_PORT, Refusal.BODY_TOO_LARGE);
        refusals.count(INTERNAL_PORT, Refusal.BODY_TOO_LARGE);
        refusals.count(INTERNAL_PORT, Refusal.OUT_OF_MEMORY);
        refusals.writeSummary("2 connections", 0);
        refusals.writeSummary("3 connections", 20_000);
        assertEquals(
                List.of(
                        "clients refused since the start, by port: "
                                + "{7500={BODY_TOO_LARGE=1, OUT_OF_MEMORY=1}, "
                                + "8367={BODY_TOO_LARGE=1}}; 2 connections"),
                lines);
        assertEquals(2, refusals.count(Refusal.BODY_TOO_LARGE));
    }

    @Test
    void summaryIsNotWrittenTwiceWithinItsInterval() {
        refusals.count(CONTROL_PORT, Refusal.BODY_TOO_LARGE);
        refusals.writeSummary("", 0);
        refusals.count(CONTROL_PORT, Refusal.BODY_TOO_LARGE);
        refusals.writeSummary("", 9_999);
        assertEquals(1, lines.size());
        refusals.writeSummary("", 10_000);
        assertEquals(2, lines.size());
    }

    @Test
    void closedClientsAreNamedOnceASecondAndTheOthersCounted() {
        refusals.countClosed(unread("/10.0.0.9:4711"), 0);
        refusals.countClosed(unread("/10.0.0.9:4712"), 500);
        refusals.countClosed(unread("/10.0.0.9:4713"), 1_000);
        String rest =
                " at port 8367 (ANSWER_SHED): 95000 bytes of its answers wait and count as 97048;"
                        + " last change 130 ms ago";
        assertEquals(
                List.of(
                        "closed client /10.0.0.9:4711" + rest,
                        "closed client /10.0.0.9:4713" + rest + "; 1 others before"),
                lines);
        assertEquals(3, refusals.count(Refusal.ANSWER_SHED));
    }
}
