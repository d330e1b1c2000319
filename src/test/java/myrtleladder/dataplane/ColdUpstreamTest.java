package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.protocol.BalancerAddress;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.replication.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Limit on the requests that all balancers of a fleet together send to an upstream that may be
 * cold.
 */
class ColdUpstreamTest {
    private static final double WARMUP_PER_SECOND = 8.4;
    private static final double MAX_REQUESTS_PER_SECOND = WARMUP_PER_SECOND * 1.5 + 5;
    private static final long STEP_MS = 50;
    private static final String DOCUMENT =
            RoutesDocument.TEXT.replace("{'name':'m',", "{'name':'m','warmup_per_s':8.4,");

    private final ManualScheduler clock = new ManualScheduler();
    private final List<DataPlaneContext> fleet = new ArrayList<>();
    private final List<Long> sentAtMs = new ArrayList<>();
    private boolean isUnreachable;

    private static InstanceRecord record(Stage stage, long sequence, long warmupLeftMs) {
        return InstanceRecord.of("m1", "m", "10.0.0.1:80", "z", 64, "v1", stage, sequence)
                .withWarmupLeftMs(warmupLeftMs);
    }

    private DataPlaneContext start(int number) {
        return new DataPlaneContext.Builder()
                .withClock(clock)
                .withSeed(number)
                .withConfiguration(DOCUMENT)
                .withWarmupSettings(new WarmupSettings("b" + number, 1.5, 5, 1_200))
                .withRecords(List.of(record(Stage.READY, 1, 0)))
                .build();
    }

    private void startFleet(int balancers) {
        for (int i = 0; i < balancers; i++) {
            fleet.add(start(i));
        }
        setBalancerList(0, balancers, 0, balancers);
        runTraffic(2_000);
        sentAtMs.clear();
    }

    /**
     * Sets the balancer list of the balancers {@code from} to {@code to - 1} to the balancers
     * {@code firstListed} to {@code endListed - 1}.
     */
    private void setBalancerList(int from, int to, int firstListed, int endListed) {
        List<BalancerAddress> list = new ArrayList<>();
        for (int i = firstListed; i < endListed; i++) {
            list.add(BalancerAddress.of("b" + i, "b" + i + ":1"));
        }
        fleet.subList(from, to).forEach(balancer -> balancer.dataPlane.setBalancerList(list));
    }

    private void applyRecord(InstanceRecord record) {
        fleet.forEach(balancer -> balancer.update(record));
    }

    /** Every balancer gets a request at each step; the upstream responds unless unreachable. */
    private void runTraffic(long durationMs) {
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
            for (DataPlaneContext balancer : fleet) {
                balancer.connections.neverConnects = isUnreachable;
                balancer.send("/s/1");
                balancer.connections.sent.forEach(this::answer);
                balancer.connections.sent.clear();
            }
            clock.run(STEP_MS);
        }
    }

    private void answer(ScriptedConnectionPool.SentRequest request) {
        sentAtMs.add(clock.now());
        request.respondHead(200);
        request.sendEvent(1);
        request.completeResponse();
    }

    private int maxRequestsInOneSecond() {
        int maximum = 0;
        for (long begin : sentAtMs) {
            long inSecond =
                    sentAtMs.stream()
                            .filter(timeMs -> timeMs >= begin && timeMs - begin < 1_000)
                            .count();
            maximum = Math.max(maximum, (int) inSecond);
        }
        return maximum;
    }

    private void assertWithinAllowance() {
        assertTrue(
                maxRequestsInOneSecond() <= MAX_REQUESTS_PER_SECOND,
                maxRequestsInOneSecond() + " requests in a second");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 6, 56, 94, 440})
    void coldUpstreamIsLimitedButStillUsedByAFleetOf(int balancers) {
        startFleet(balancers);
        runTraffic(1_000);
        assertTrue(sentAtMs.size() >= 20 * balancers, "warm: " + sentAtMs.size());
        clock.run(1_000);
        sentAtMs.clear();
        applyRecord(record(Stage.READY, 2, 3_000));
        runTraffic(2_900);
        assertWithinAllowance();
        assertTrue(sentAtMs.size() >= 2.9 * WARMUP_PER_SECOND / 2, "used: " + sentAtMs.size());
        runTraffic(1_200);
        assertTrue(maxRequestsInOneSecond() > MAX_REQUESTS_PER_SECOND);
    }

    @Test
    void changingBalancerListsDoNotRaiseTheTotalAboveTheLimit() {
        startFleet(36);
        clock.run(1_000);
        applyRecord(record(Stage.READY, 2, 20_000));
        for (int round = 0; round < 12; round++) {
            int firstListed = round % 3 * 12;
            setBalancerList(0, 36, firstListed, firstListed + 12);
            runTraffic(300);
        }
        assertWithinAllowance();
        runTraffic(4_000);
        assertTrue(sentAtMs.size() >= WARMUP_PER_SECOND, "used: " + sentAtMs.size());
    }

    @Test
    void partitionedBalancersWithAnOldListStayWithinTheLimitTogether() {
        startFleet(56);
        clock.run(1_000);
        applyRecord(record(Stage.READY, 2, 8_000));
        setBalancerList(28, 56, 28, 56);
        runTraffic(4_000);
        setBalancerList(0, 28, 0, 28);
        runTraffic(3_000);
        assertWithinAllowance();
    }

    @Test
    void restartedBalancersStayWithinTheLimit() {
        startFleet(6);
        clock.run(1_000);
        applyRecord(record(Stage.READY, 2, 9_000));
        for (int restart = 0; restart < 8; restart++) {
            runTraffic(200);
            for (int i = 0; i < 6; i++) {
                fleet.set(i, start(i));
            }
            applyRecord(record(Stage.READY, 2, 5_000));
            setBalancerList(0, 6, 0, 6);
        }
        runTraffic(3_000);
        assertWithinAllowance();
    }

    @Test
    void repeatedWarmupReportExtendsTheLimit() {
        startFleet(56);
        clock.run(1_000);
        applyRecord(record(Stage.READY, 2, 3_000));
        runTraffic(2_000);
        applyRecord(record(Stage.READY, 3, 3_000));
        runTraffic(2_900);
        assertWithinAllowance();
    }

    @Test
    void upstreamThatReturnsColdBeforeItIsReportedLostIsLimited() {
        startFleet(56);
        isUnreachable = true;
        runTraffic(3_000);
        isUnreachable = false;
        runTraffic(1_000);
        applyRecord(record(Stage.READY, 9, 3_000));
        runTraffic(2_900);
        assertWithinAllowance();
        assertTrue(sentAtMs.size() >= 3.9 * WARMUP_PER_SECOND / 2, "used: " + sentAtMs.size());
    }

    @Test
    void limitAfterAFailureEndsOnlyWhileThePrimaryAnswers() {
        startFleet(56);
        isUnreachable = true;
        runTraffic(600);
        isUnreachable = false;
        clock.run(60_000);
        runTraffic(1_000);
        assertWithinAllowance();
        for (int poll = 0; poll <= 10; poll++) {
            fleet.forEach(balancer -> balancer.dataPlane.recordPollResponse(1));
            clock.run(500);
        }
        runTraffic(1_000);
        assertTrue(maxRequestsInOneSecond() > MAX_REQUESTS_PER_SECOND);
    }

    @Test
    void recordsOfANewPrimaryDoNotEndTheWarmupReportedByThePreviousOne() {
        startFleet(56);
        clock.run(1_000);
        applyRecord(record(Stage.READY, 2, 3_000));
        applyRecord(record(Stage.READY, 2, 0));
        runTraffic(1_000);
        applyRecord(record(Stage.LOST, 2, 0));
        applyRecord(record(Stage.READY, 2, 0));
        runTraffic(4_000);
        assertWithinAllowance();
    }

    @Test
    void undrainedZoneIsLimitedUntilItsUpstreamsReport() {
        startFleet(56);
        clock.run(1_000);
        fleet.forEach(balancer -> balancer.dataPlane.directory().applyDrainedZones(List.of("z")));
        fleet.forEach(balancer -> balancer.dataPlane.directory().applyDrainedZones(List.of()));
        runTraffic(1_000);
        assertWithinAllowance();
        applyRecord(record(Stage.READY, 2, 0));
        runTraffic(1_000);
        assertTrue(maxRequestsInOneSecond() > MAX_REQUESTS_PER_SECOND);
    }

    @Test
    void connectingRequestIsWithheldIfTheUpstreamBecomesCold() {
        DataPlaneContext balancer = start(0);
        balancer.connections.delaysConnections = true;
        ScriptedClient client = balancer.send("/s/1");
        balancer.update(record(Stage.READY, 2, 3_000));
        balancer.connections.establishDelayed();
        assertEquals(0, balancer.connections.sent.size());
        assertEquals(503, client.status);
    }
}
