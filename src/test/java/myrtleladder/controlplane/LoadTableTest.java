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

/** Sums of the in-flight requests of all balancers. */
class LoadTableTest {
    private static final int UPSTREAM = 7;
    private static final long START_MS = 10_000;

    private final LoadTable table = new LoadTable();

    @BeforeEach
    void completeTheCollectionPeriod() {
        table.reset(START_MS - LoadTable.COLLECTION_PERIOD_MS);
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

    private FleetLoads loadsFor(String balancer, long nowMs) {
        FleetLoads response = new FleetLoads();
        table.addLoadsOfOthers(response, balancer, nowMs);
        return response;
    }

    private void assertLoads(int requests, String balancer, long nowMs) {
        FleetLoads response = loadsFor(balancer, nowMs);
        assertTrue(response.loadsKnown);
        if (requests == 0) {
            assertEquals(List.of(), response.loads);
            return;
        }
        assertEquals(1, response.loads.size());
        assertEquals(UPSTREAM, response.loads.get(0).upstreamKey);
        assertEquals(requests, response.loads.get(0).inFlightRequests);
        assertEquals(100 * requests, response.loads.get(0).pendingPromptTokens);
    }

    @Test
    void balancerGetsTheLoadsOfTheOthers() {
        table.record(report("a", 1, 1, 2), START_MS);
        table.record(report("b", 1, 1, 3), START_MS);
        table.record(report("c", 1, 1, 0), START_MS);
        assertLoads(3, "a", START_MS);
        assertLoads(2, "b", START_MS);
        assertLoads(5, "c", START_MS);
        assertLoads(5, "unknown", START_MS);
    }

    @Test
    void repeatedOrLateReportCountsOnce() {
        table.record(report("a", 1, 2, 2), START_MS);
        table.record(report("a", 1, 2, 2), START_MS);
        table.record(report("a", 1, 1, 9), START_MS);
        assertLoads(2, "b", START_MS);
        table.record(report("a", 1, 3, 0), START_MS);
        assertLoads(0, "b", START_MS);
    }

    @Test
    void restartedProcessReplacesThePreviousOne() {
        table.record(report("a", 1, 50, 9), START_MS);
        table.record(report("a", 2, 1, 1), START_MS);
        assertLoads(1, "b", START_MS);
    }

    @Test
    void loadsOfABalancerThatDiesOrLeavesAreRemoved() {
        table.record(report("a", 1, 1, 2), START_MS);
        table.record(report("b", 1, 1, 3), START_MS + 1_000);
        assertLoads(5, "c", START_MS + 1_000);
        assertLoads(3, "c", START_MS + LoadTable.REPORT_LIFETIME_MS + 1);
        table.remove("b");
        assertLoads(0, "c", START_MS + LoadTable.REPORT_LIFETIME_MS + 1);
    }

    @Test
    void primaryThatWasSuspendedDropsOldReports() {
        table.record(report("a", 1, 1, 2), START_MS);
        assertLoads(0, "b", START_MS + 60_000);
    }

    @Test
    void newPrimaryReportsNoSumsUntilAllHadTimeToReport() {
        table.record(report("a", 1, 1, 2), START_MS);
        table.reset(START_MS);
        table.record(report("b", 1, 1, 3), START_MS + 10);
        assertFalse(loadsFor("c", START_MS + LoadTable.COLLECTION_PERIOD_MS - 1).loadsKnown);
        assertLoads(3, "c", START_MS + LoadTable.COLLECTION_PERIOD_MS);
    }

    @Test
    void responseIsLimitedToTheBusiestUpstreams() {
        LoadReport report = report("a", 1, 1, 0);
        for (int upstream = 1; upstream <= 5_000; upstream++) {
            report.loads.add(UpstreamLoad.of(upstream, 1, upstream));
        }
        table.record(report, START_MS);
        FleetLoads response = loadsFor("b", START_MS);
        assertEquals(200, response.loads.size());
        assertTrue(response.loads.stream().allMatch(load -> load.pendingPromptTokens > 4_800));
    }
}
