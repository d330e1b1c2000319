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

/** What one upstream that may be cold gets from all balancers of a fleet together. */
class ColdUpstreamTest {
    private static final double PER_SECOND = 8.4;
    private static final double ALLOWED = PER_SECOND * 1.5 + 5;
    private static final long STEP_MS = 50;
    private static final String DOCUMENT =
            RoutesDocument.TEXT.replace("{'name':'m',", "{'name':'m','warmup_per_s':8.4,");

    private final ManualScheduler clock = new ManualScheduler();
    private final List<DataPlaneContext> fleet = new ArrayList<>();
    private final List<Long> sentAtMs = new ArrayList<>();
    private boolean isDark;

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
        tellList(0, balancers, 0, balancers);
        play(2_000);
        sentAtMs.clear();
    }

    /** Tells some balancers that the list holds the balancers from a number up to another. */
    private void tellList(int from, int to, int firstListed, int endListed) {
        List<BalancerAddress> list = new ArrayList<>();
        for (int i = firstListed; i < endListed; i++) {
            list.add(BalancerAddress.of("b" + i, "b" + i + ":1"));
        }
        fleet.subList(from, to).forEach(balancer -> balancer.dataPlane.setBalancerList(list));
    }

    private void tellRecord(InstanceRecord record) {
        fleet.forEach(balancer -> balancer.update(record));
    }

    /** Every balancer gets a request at each step; the upstream answers unless it is dark. */
    private void play(long durationMs) {
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
            for (DataPlaneContext balancer : fleet) {
                balancer.connections.neverConnects = isDark;
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

    private int mostInASecond() {
        int most = 0;
        for (long begin : sentAtMs) {
            long inSecond = sentAtMs.stream().filter(t -> t >= begin && t - begin < 1_000).count();
            most = Math.max(most, (int) inSecond);
        }
        return most;
    }

    private void assertWithinAllowance() {
        assertTrue(mostInASecond() <= ALLOWED, mostInASecond() + " requests in a second");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 6, 56, 94, 440})
    void coldUpstreamIsNotFloodedAndStillUsedByAFleetOf(int balancers) {
        startFleet(balancers);
        play(1_000);
        assertTrue(sentAtMs.size() >= 20 * balancers, "warm: " + sentAtMs.size());
        clock.run(1_000);
        sentAtMs.clear();
        tellRecord(record(Stage.READY, 2, 3_000));
        play(2_900);
        assertWithinAllowance();
        assertTrue(sentAtMs.size() >= 2.9 * PER_SECOND / 2, "used: " + sentAtMs.size());
        play(1_200);
        assertTrue(mostInASecond() > ALLOWED);
    }

    @Test
    void listsThatChangeWhileAnUpstreamIsColdDoNotAddUp() {
        startFleet(36);
        clock.run(1_000);
        tellRecord(record(Stage.READY, 2, 20_000));
        for (int round = 0; round < 12; round++) {
            int firstListed = round % 3 * 12;
            tellList(0, 36, firstListed, firstListed + 12);
            play(300);
        }
        assertWithinAllowance();
        play(4_000);
        assertTrue(sentAtMs.size() >= PER_SECOND, "used: " + sentAtMs.size());
    }

    @Test
    void balancersWithAStaleListBehindACutDoNotAddUpWithTheOthers() {
        startFleet(56);
        clock.run(1_000);
        tellRecord(record(Stage.READY, 2, 8_000));
        tellList(28, 56, 28, 56);
        play(4_000);
        tellList(0, 28, 0, 28);
        play(3_000);
        assertWithinAllowance();
    }

    @Test
    void balancersThatRestartDoNotSpendTheirPartsTwice() {
        startFleet(6);
        clock.run(1_000);
        tellRecord(record(Stage.READY, 2, 9_000));
        for (int restart = 0; restart < 8; restart++) {
            play(200);
            for (int i = 0; i < 6; i++) {
                fleet.set(i, start(i));
            }
            tellRecord(record(Stage.READY, 2, 5_000));
            tellList(0, 6, 0, 6);
        }
        play(3_000);
        assertWithinAllowance();
    }

    @Test
    void warmupThatIsAnnouncedAgainLastsLonger() {
        startFleet(56);
        clock.run(1_000);
        tellRecord(record(Stage.READY, 2, 3_000));
        play(2_000);
        tellRecord(record(Stage.READY, 3, 3_000));
        play(2_900);
        assertWithinAllowance();
    }

    @Test
    void upstreamThatComesBackColdBeforeItIsReportedLostIsNotFlooded() {
        startFleet(56);
        isDark = true;
        play(3_000);
        isDark = false;
        play(1_000);
        tellRecord(record(Stage.READY, 9, 3_000));
        play(2_900);
        assertWithinAllowance();
        assertTrue(sentAtMs.size() >= 3.9 * PER_SECOND / 2, "used: " + sentAtMs.size());
    }

    @Test
    void failedUpstreamIsUnlimitedAgainOnlyWhileThePrimaryAnswers() {
        startFleet(56);
        isDark = true;
        play(600);
        isDark = false;
        clock.run(60_000);
        play(1_000);
        assertWithinAllowance();
        for (int poll = 0; poll <= 10; poll++) {
            fleet.forEach(balancer -> balancer.dataPlane.recordPollResponse(1));
            clock.run(500);
        }
        play(1_000);
        assertTrue(mostInASecond() > ALLOWED);
    }

    @Test
    void recordsOfANewPrimaryDoNotEndWhatTheFormerOneReported() {
        startFleet(56);
        clock.run(1_000);
        tellRecord(record(Stage.READY, 2, 3_000));
        tellRecord(record(Stage.READY, 2, 0));
        play(1_000);
        tellRecord(record(Stage.LOST, 2, 0));
        tellRecord(record(Stage.READY, 2, 0));
        play(4_000);
        assertWithinAllowance();
    }

    @Test
    void zoneThatIsTakenBackIsLimitedUntilItsUpstreamsReport() {
        startFleet(56);
        clock.run(1_000);
        fleet.forEach(balancer -> balancer.dataPlane.directory().applyDrainedZones(List.of("z")));
        fleet.forEach(balancer -> balancer.dataPlane.directory().applyDrainedZones(List.of()));
        play(1_000);
        assertWithinAllowance();
        tellRecord(record(Stage.READY, 2, 0));
        play(1_000);
        assertTrue(mostInASecond() > ALLOWED);
    }

    @Test
    void requestThatWaitedForItsConnectionIsWithheldIfTheUpstreamBecameCold() {
        DataPlaneContext balancer = start(0);
        balancer.connections.delaysConnections = true;
        ScriptedClient client = balancer.send("/s/1");
        balancer.update(record(Stage.READY, 2, 3_000));
        balancer.connections.establishDelayed();
        assertEquals(0, balancer.connections.sent.size());
        assertEquals(503, client.status);
    }
}
