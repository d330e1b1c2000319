package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.UpstreamLoad;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sums of what all balancers have under way. */
class LoadBoardTest {
    private static final int UPSTREAM = 7;
    private static final long START = 10_000;

    private final LoadBoard board = new LoadBoard();

    @BeforeEach
    void lead() {
        board.lead(START - LoadBoard.FIRST_SUMS);
    }

    private static LoadReport report(String balancer, long process, long sequence, int requests) {
        LoadReport report = new LoadReport();
        report.balancer = balancer;
        report.processId = process;
        report.sequence = sequence;
        if (requests > 0) {
            report.loads.add(UpstreamLoad.of(UPSTREAM, requests, 100 * requests));
        }
        return report;
    }

    private FleetLoads told(String balancer, long now) {
        FleetLoads told = new FleetLoads();
        board.tell(told, balancer, now);
        return told;
    }

    private void assertTold(int requests, String balancer, long now) {
        FleetLoads told = told(balancer, now);
        assertTrue(told.loadsKnown);
        if (requests == 0) {
            assertEquals(List.of(), told.loads);
            return;
        }
        assertEquals(1, told.loads.size());
        assertEquals(UPSTREAM, told.loads.get(0).upstreamKey);
        assertEquals(requests, told.loads.get(0).inFlightRequests);
        assertEquals(100 * requests, told.loads.get(0).pendingPromptTokens);
    }

    @Test
    void eachBalancerIsToldWhatTheOthersHaveUnderWay() {
        board.take(report("a", 1, 1, 2), START);
        board.take(report("b", 1, 1, 3), START);
        board.take(report("c", 1, 1, 0), START);
        assertTold(3, "a", START);
        assertTold(2, "b", START);
        assertTold(5, "c", START);
        assertTold(5, "unknown", START);
    }

    @Test
    void aReportThatArrivesTwiceOrLateCountsOnce() {
        board.take(report("a", 1, 2, 2), START);
        board.take(report("a", 1, 2, 2), START);
        board.take(report("a", 1, 1, 9), START);
        assertTold(2, "b", START);
        board.take(report("a", 1, 3, 0), START);
        assertTold(0, "b", START);
    }

    @Test
    void aProcessThatStartedAgainReplacesTheOneBefore() {
        board.take(report("a", 1, 50, 9), START);
        board.take(report("a", 2, 1, 1), START);
        assertTold(1, "b", START);
    }

    @Test
    void aBalancerThatDiesOrLeavesTakesItsShareAlong() {
        board.take(report("a", 1, 1, 2), START);
        board.take(report("b", 1, 1, 3), START + 1_000);
        assertTold(5, "c", START + 1_000);
        assertTold(3, "c", START + LoadBoard.FRESH + 1);
        board.forget("b");
        assertTold(0, "c", START + LoadBoard.FRESH + 1);
    }

    @Test
    void aPrimaryThatThawsTellsNothingOfWhatItHeardBefore() {
        board.take(report("a", 1, 1, 2), START);
        assertTold(0, "b", START + 60_000);
    }

    @Test
    void aNewPrimaryTellsNothingUntilAllHadTimeToReport() {
        board.take(report("a", 1, 1, 2), START);
        board.lead(START);
        board.take(report("b", 1, 1, 3), START + 10);
        assertFalse(told("c", START + LoadBoard.FIRST_SUMS - 1).loadsKnown);
        assertTold(3, "c", START + LoadBoard.FIRST_SUMS);
    }

    @Test
    void ofVeryManyUpstreamsTheBusiestAreTold() {
        LoadReport report = report("a", 1, 1, 0);
        for (int upstream = 1; upstream <= 5_000; upstream++) {
            report.loads.add(UpstreamLoad.of(upstream, 1, upstream));
        }
        board.take(report, START);
        FleetLoads told = told("b", START);
        assertEquals(200, told.loads.size());
        assertTrue(told.loads.stream().allMatch(load -> load.pendingPromptTokens > 4_800));
    }
}
