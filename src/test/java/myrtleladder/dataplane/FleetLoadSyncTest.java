package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.configuration.Service;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.UpstreamLoad;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Loads and prefixes that a balancer reports, and those that it applies from other balancers. */
class FleetLoadSyncTest {
    private static final long NOW_MS = 50_000;
    private static final PromptSegments PROMPT = PromptSegments.parse("a:5000,b:300");

    private final UpstreamDirectory directory = DataPlaneContext.emptyDirectory();
    private final FleetLoadSync fleetLoads = new FleetLoadSync(directory, 1);
    private Upstream upstream;

    @BeforeEach
    void addUpstream() {
        InstanceRecord record =
                InstanceRecord.of("i", "m", "10.0.0.1:80", "z", 64, "v", Stage.READY, 1);
        directory.applyRecords(List.of(record), true);
        upstream = directory.available("m").get(0);
        upstream.setEngine(new Service.Engine(64, 500_000, 3));
    }

    private static FleetLoads response(long epoch, long revision) {
        FleetLoads response = new FleetLoads();
        response.epoch = epoch;
        response.promptRevision = revision;
        response.loadsKnown = true;
        return response;
    }

    @Test
    void announcementIsRepeatedUntilAResponseAcknowledgesIt() {
        fleetLoads.recordPromptSent(PROMPT, upstream, NOW_MS);
        LoadReport unacknowledged = fleetLoads.createReport();
        assertEquals(PROMPT.sharedPrefixHash(), unacknowledged.cachedPrompts.get(0).prefixHash);
        assertEquals(upstream.key(), unacknowledged.cachedPrompts.get(0).upstreamKey);
        LoadReport second = fleetLoads.createReport();
        assertEquals(1, second.cachedPrompts.size());
        assertTrue(second.sequence > unacknowledged.sequence);
        fleetLoads.applyResponse(second, response(3, 1), NOW_MS);
        assertEquals(List.of(), fleetLoads.createReport().cachedPrompts);
    }

    @Test
    void prefixIsAnnouncedAgainOnlyAfterAnInterval() {
        fleetLoads.recordPromptSent(PROMPT, upstream, NOW_MS);
        fleetLoads.applyResponse(fleetLoads.createReport(), response(3, 1), NOW_MS);
        fleetLoads.recordPromptSent(PROMPT, upstream, NOW_MS + 1_000);
        assertEquals(List.of(), fleetLoads.createReport().cachedPrompts);
        fleetLoads.recordPromptSent(PROMPT, upstream, NOW_MS + 30_000);
        assertEquals(1, fleetLoads.createReport().cachedPrompts.size());
    }

    @Test
    void weightOfPeerLoadsFallsToZeroWithAge() {
        FleetLoads response = response(3, 1);
        response.loads.add(UpstreamLoad.of(upstream.key(), 4, 8_000));
        fleetLoads.applyResponse(fleetLoads.createReport(), response, NOW_MS);
        assertTrue(fleetLoads.hasFreshLoads(NOW_MS));
        assertEquals(4, upstream.peerRequests(NOW_MS));
        assertEquals(8_000, upstream.peerPromptTokens(NOW_MS));
        assertTrue(upstream.peerPromptTokens(NOW_MS + 500) < 8_000);
        assertEquals(0, upstream.peerPromptTokens(NOW_MS + FleetLoadSync.MAX_LOAD_AGE_MS));
        assertFalse(fleetLoads.hasFreshLoads(NOW_MS + FleetLoadSync.MAX_LOAD_AGE_MS + 1));
    }

    @Test
    void upstreamMissingFromAResponseHasNoPeerLoad() {
        FleetLoads withLoad = response(3, 1);
        withLoad.loads.add(UpstreamLoad.of(upstream.key(), 4, 8_000));
        fleetLoads.applyResponse(fleetLoads.createReport(), withLoad, NOW_MS);
        fleetLoads.applyResponse(fleetLoads.createReport(), response(3, 1), NOW_MS);
        assertEquals(0, upstream.peerRequests(NOW_MS));
    }

    @Test
    void responseWithoutKnownLoadsLeavesPeerLoadsUnchanged() {
        FleetLoads withLoad = response(3, 1);
        withLoad.loads.add(UpstreamLoad.of(upstream.key(), 4, 8_000));
        fleetLoads.applyResponse(fleetLoads.createReport(), withLoad, NOW_MS);
        FleetLoads unknown = response(4, 0);
        unknown.loadsKnown = false;
        fleetLoads.applyResponse(fleetLoads.createReport(), unknown, NOW_MS + 100);
        assertTrue(upstream.peerPromptTokens(NOW_MS + 100) > 0);
        fleetLoads.applyResponse(fleetLoads.createReport(), null, NOW_MS + 200);
        assertTrue(upstream.peerPromptTokens(NOW_MS + 200) > 0);
    }

    @Test
    void responseOfADeposedPrimaryIsIgnored() {
        fleetLoads.applyResponse(fleetLoads.createReport(), response(4, 9), NOW_MS);
        FleetLoads deposed = response(3, 50);
        deposed.loads.add(UpstreamLoad.of(upstream.key(), 4, 8_000));
        deposed.cachedPrompts.add(CachedPrompt.of(PROMPT.sharedPrefixHash(), upstream.key()));
        fleetLoads.applyResponse(fleetLoads.createReport(), deposed, NOW_MS);
        assertEquals(0, upstream.peerRequests(NOW_MS));
        assertEquals(0, upstream.prefixCache().cachedTokens(PROMPT, NOW_MS));
        assertEquals(9, fleetLoads.createReport().promptRevision);
    }

    @Test
    void prefixesAnnouncedByOtherBalancersCountAsCached() {
        FleetLoads response = response(3, 7);
        response.cachedPrompts.add(CachedPrompt.of(PROMPT.sharedPrefixHash(), upstream.key()));
        response.cachedPrompts.add(
                CachedPrompt.of(PROMPT.sharedPrefixHash(), upstream.key() + 1)); // unknown upstream
        fleetLoads.applyResponse(fleetLoads.createReport(), response, NOW_MS);
        assertEquals(5_000, upstream.prefixCache().cachedTokens(PROMPT, NOW_MS));
        assertEquals(7, fleetLoads.createReport().promptRevision);
        fleetLoads.recordPromptSent(PROMPT, upstream, NOW_MS);
        assertEquals(List.of(), fleetLoads.createReport().cachedPrompts);
    }

    @Test
    void pendingLoadIsReportedWhileTheRequestWaitsForQuota() {
        fleetLoads.setPendingLoad(() -> UpstreamLoad.of(upstream.key(), 1, 5_300));
        assertEquals(5_300, fleetLoads.createReport().loads.get(0).pendingPromptTokens);
        fleetLoads.setPendingLoad(FleetLoadSync.NO_PENDING_LOAD);
        assertEquals(List.of(), fleetLoads.createReport().loads);
    }
}
