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
class LoadTableTest {
    private static final int UPSTREAM = 7;
    private static final long START = 10_000;

    private final LoadTable table = new LoadTable();

    @BeforeEach
    void lead() {
        table.reset(START - LoadTable.WARM_UP_MS);
    }

    private static LoadReport report(String balancer, long process, long sequence, int requests) {
        LoadReport report = new LoadReport();
        report.balancer = balancer;
        report.process = process;
        report.sequence = sequence;
        if (requests > 0) {
            report.loads.add(UpstreamLoad.of(UPSTREAM, requests, 100 * requests));
        }
        return report;
    }

    private FleetLoads told(String balancer, long now) {
        FleetLoads told = new FleetLoads();
        table.addLoadsOfOthers(told, balancer, now);
        return told;
    }

    private void assertTold(int requests, String balancer, long now) {
        FleetLoads told = told(balancer, now);
        assertTrue(told.known);
        if (requests == 0) {
            assertEquals(List.of(), told.loads);
            return;
        }
        assertEquals(1, told.loads.size());
        assertEquals(UPSTREAM, told.loads.get(0).upstream);
        assertEquals(requests, told.loads.get(0).requests);
        assertEquals(100 * requests, told.loads.get(0).tokens);
    }

    @Test
    void eachBalancerIsToldWhatTheOthersHaveUnderWay() {
        table.record(report("a", 1, 1, 2), START);
        table.record(report("b", 1, 1, 3), START);
        table.record(report("c", 1, 1, 0), START);
        assertTold(3, "a", START);
        assertTold(2, "b", START);
        assertTold(5, "c", START);
        assertTold(5, "unknown", START);
    }

    @Test
    void aReportThatArrivesTwiceOrLateCountsOnce() {
        table.record(report("a", 1, 2, 2), START);
        table.record(report("a", 1, 2, 2), START);
        table.record(report("a", 1, 1, 9), START);
        assertTold(2, "b", START);
        table.record(report("a", 1, 3, 0), START);
        assertTold(0, "b", START);
    }

    @Test
    void aProcessThatStartedAgainReplacesTheOneBefore() {
        table.record(report("a", 1, 50, 9), START);
        table.record(report("a", 2, 1, 1), START);
        assertTold(1, "b", START);
    }

    @Test
    void aBalancerThatDiesOrLeavesTakesItsShareAlong() {
        table.record(report("a", 1, 1, 2), START);
        table.record(report("b", 1, 1, 3), START + 1_000);
        assertTold(5, "c", START + 1_000);
        assertTold(3, "c", START + LoadTable.REPORT_LIFETIME_MS + 1);
        table.remove("b");
        assertTold(0, "c", START + LoadTable.REPORT_LIFETIME_MS + 1);
    }

    @Test
    void aPrimaryThatThawsTellsNothingOfWhatItHeardBefore() {
        table.record(report("a", 1, 1, 2), START);
        assertTold(0, "b", START + 60_000);
    }

    @Test
    void aNewPrimaryTellsNothingUntilAllHadTimeToReport() {
        table.record(report("a", 1, 1, 2), START);
        table.reset(START);
        table.record(report("b", 1, 1, 3), START + 10);
        assertFalse(told("c", START + LoadTable.WARM_UP_MS - 1).known);
        assertTold(3, "c", START + LoadTable.WARM_UP_MS);
    }

    @Test
    void ofVeryManyUpstreamsTheBusiestAreTold() {
        LoadReport report = report("a", 1, 1, 0);
        for (int upstream = 1; upstream <= 5_000; upstream++) {
            report.loads.add(UpstreamLoad.of(upstream, 1, upstream));
        }
        table.record(report, START);
        FleetLoads told = told("b", START);
        assertEquals(200, told.loads.size());
        assertTrue(told.loads.stream().allMatch(load -> load.tokens > 4_800));
    }
}
