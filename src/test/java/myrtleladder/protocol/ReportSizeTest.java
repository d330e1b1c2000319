package myrtleladder.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How many bytes the reports of loads and their answers take. */
class ReportSizeTest {
    private static final int MAX_LOADS = 200;
    private static final int MAX_PROMPTS = 128;

    private static LoadReport report(int loads, int prompts) {
        LoadReport report = new LoadReport();
        report.balancer = "edge-bkk-a-17";
        report.processId = Long.MAX_VALUE;
        report.sequence = 100_000;
        report.epoch = 12;
        report.promptRevision = 5_000;
        for (int i = 0; i < loads; i++) {
            report.loads.add(UpstreamLoad.of(UpstreamLoad.keyOf("i-7f3a" + i), 3, 17_000));
        }
        for (int i = 0; i < prompts; i++) {
            report.cachedPrompts.add(CachedPrompt.of(-1L - i, UpstreamLoad.keyOf("i-7f3a" + i)));
        }
        return report;
    }

    private static FleetLoads answer(int loads, int prompts) {
        LoadReport report = report(loads, prompts);
        FleetLoads answer = new FleetLoads();
        answer.loadsKnown = true;
        answer.epoch = report.epoch;
        answer.promptRevision = report.promptRevision;
        answer.loads = report.loads;
        answer.cachedPrompts = report.cachedPrompts;
        return answer;
    }

    private static int reportBytes(int loads, int prompts) {
        PollRequest poll = new PollRequest();
        int without = MessageCodec.encode(poll).length;
        poll.loadReport = report(loads, prompts);
        return MessageCodec.encode(poll).length - without;
    }

    private static int answerBytes(int loads, int prompts) {
        PollResponse reply = new PollResponse();
        int without = MessageCodec.encode(reply).length;
        reply.fleetLoads = answer(loads, prompts);
        return MessageCodec.encode(reply).length - without;
    }

    @Test
    void aLoadTakesAtMostFifteenBytes() {
        assertTrue(answerBytes(42, 0) - answerBytes(0, 0) <= 42 * 15, "" + answerBytes(42, 0));
        assertTrue(reportBytes(5, 0) <= 40 + 5 * 15, "" + reportBytes(5, 0));
    }

    @Test
    void theLargestPollResponseStaysBelowTwelveKilobytesASecond() {
        int bytes = answerBytes(MAX_LOADS, MAX_PROMPTS);
        double pollsASecond = 1_000 / 450.0;
        assertTrue(bytes * pollsASecond < 12_288, bytes + " bytes");
    }

    @Test
    void aReportAndItsResponseAreDecodedAsTheyWereEncoded() {
        PollRequest poll = new PollRequest();
        poll.loadReport = report(2, 1);
        PollRequest decoded = (PollRequest) MessageCodec.decode(MessageCodec.encode(poll));
        assertEquals(poll.loadReport.sequence, decoded.loadReport.sequence);
        assertEquals(17_000, decoded.loadReport.loads.get(1).pendingPromptTokens);
        assertEquals(-1L, decoded.loadReport.cachedPrompts.get(0).prefixHash);
        QuotaResponse grant = QuotaResponse.of(true, 5, 0);
        grant.fleetLoads = answer(0, 0);
        QuotaResponse idle = (QuotaResponse) MessageCodec.decode(MessageCodec.encode(grant));
        assertTrue(idle.fleetLoads.loadsKnown && idle.fleetLoads.loads.isEmpty());
        assertEquals(
                null,
                ((PollRequest) MessageCodec.decode(MessageCodec.encode(new PollRequest())))
                        .loadReport);
    }
}
