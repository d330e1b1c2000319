package myrtleladder.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How many bytes the reports of loads and their answers take. */
class ReportSizeTest {
    private static final int MOST_LOADS = 200;
    private static final int MOST_PROMPTS = 128;

    private static LoadReport report(int loads, int prompts) {
        LoadReport report = new LoadReport();
        report.balancer = "edge-bkk-a-17";
        report.process = Long.MAX_VALUE;
        report.sequence = 100_000;
        report.epoch = 12;
        report.promptRevision = 5_000;
        for (int i = 0; i < loads; i++) {
            report.loads.add(UpstreamLoad.of(UpstreamLoad.keyOf("i-7f3a" + i), 3, 17_000));
        }
        for (int i = 0; i < prompts; i++) {
            report.prompts.add(CachedPrompt.of(-1L - i, UpstreamLoad.keyOf("i-7f3a" + i)));
        }
        return report;
    }

    private static FleetLoads answer(int loads, int prompts) {
        LoadReport report = report(loads, prompts);
        FleetLoads answer = new FleetLoads();
        answer.known = true;
        answer.epoch = report.epoch;
        answer.promptRevision = report.promptRevision;
        answer.loads = report.loads;
        answer.prompts = report.prompts;
        return answer;
    }

    private static int reportBytes(int loads, int prompts) {
        PollRequest poll = new PollRequest();
        int without = MessageCodec.encode(poll).length;
        poll.load = report(loads, prompts);
        return MessageCodec.encode(poll).length - without;
    }

    private static int answerBytes(int loads, int prompts) {
        PollResponse reply = new PollResponse();
        int without = MessageCodec.encode(reply).length;
        reply.loads = answer(loads, prompts);
        return MessageCodec.encode(reply).length - without;
    }

    @Test
    void aLoadTakesAtMostFifteenBytes() {
        assertTrue(answerBytes(42, 0) - answerBytes(0, 0) <= 42 * 15, "" + answerBytes(42, 0));
        assertTrue(reportBytes(5, 0) <= 40 + 5 * 15, "" + reportBytes(5, 0));
    }

    @Test
    void theLongestAnswerToAPollStaysBelowTheBoundOfTwelveKilobytesASecond() {
        int bytes = answerBytes(MOST_LOADS, MOST_PROMPTS);
        double pollsASecond = 1_000 / 450.0;
        assertTrue(bytes * pollsASecond < 12_288, bytes + " bytes");
    }

    @Test
    void reportsAndAnswersComeThroughTheWireWhole() {
        PollRequest poll = new PollRequest();
        poll.load = report(2, 1);
        PollRequest decoded = (PollRequest) MessageCodec.decode(MessageCodec.encode(poll));
        assertEquals(poll.load.sequence, decoded.load.sequence);
        assertEquals(17_000, decoded.load.loads.get(1).tokens);
        assertEquals(-1L, decoded.load.prompts.get(0).prompt);
        QuotaResponse grant = QuotaResponse.of(true, 5, 0);
        grant.loads = answer(0, 0);
        QuotaResponse idle = (QuotaResponse) MessageCodec.decode(MessageCodec.encode(grant));
        assertTrue(idle.loads.known && idle.loads.loads.isEmpty());
        assertEquals(
                null,
                ((PollRequest) MessageCodec.decode(MessageCodec.encode(new PollRequest()))).load);
    }
}
