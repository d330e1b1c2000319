package myrtleladder.maintenance;

import static myrtleladder.maintenance.RecordedFleet.SECOND;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.cluster.GoldenFile;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.fault.LinkFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Pins the behaviour of membership, agreement and work by digests of whole runs in virtual time
 * with losses, crashes, standstills and cuts: all datagrams with their times, timers, events and
 * decisions. A change of structure keeps them; one of behaviour does not, and has to say so.
 */
class RunCompatibilityTest {
    private static final GoldenFile GOLDEN = new GoldenFile("runs.txt");

    private static RecordedFleet quiet(long seed) {
        RecordedFleet fleet = new RecordedFleet(seed, 5);
        fleet.run(18 * SECOND);
        fleet.plan("m3", 2);
        return fleet;
    }

    private static RecordedFleet troubled(long seed) {
        RecordedFleet fleet = quiet(seed);
        fleet.world.follow(
                new FaultPlan(
                        List.of(
                                new FaultPlan.Step(2 * SECOND, new Fault.Kill("m0")),
                                new FaultPlan.Step(4 * SECOND, new Fault.Pause("m1")),
                                new FaultPlan.Step(9 * SECOND, new Fault.Resume("m1")),
                                new FaultPlan.Step(10 * SECOND, new Fault.Restart("m0")),
                                new FaultPlan.Step(
                                        12 * SECOND, new Fault.Link("m2", "m3", LinkFault.CUT)),
                                new FaultPlan.Step(12 * SECOND, new Fault.Drift("m4", 400)),
                                new FaultPlan.Step(18 * SECOND, new Fault.HealAll()),
                                new FaultPlan.Step(20 * SECOND, new Fault.Restart("m2")))));
        work(fleet, 35);
        return fleet;
    }

    /** Lets seconds pass; workers say each second that what is out is done. */
    private static void work(RecordedFleet fleet, int seconds) {
        for (int i = 0; i < seconds; i++) {
            fleet.run(SECOND);
            for (MaintenanceJob job : fleet.nodes.get("m3").agenda.jobs()) {
                if (job.state() == JobState.OUT) {
                    fleet.propose("m3", OperatorCommand.done(job.machine(), job.permit()));
                }
            }
        }
    }

    private static void check(String name, RecordedFleet fleet) {
        for (String layer : List.of("membership", "agreement", "work")) {
            GOLDEN.assertWritten(name + ", " + layer, fleet.digest(layer));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aRunWithoutFaultsIsTheSameRun(long seed) {
        RecordedFleet fleet = quiet(seed);
        work(fleet, 25);
        check("quiet run of seed " + seed, fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aRunWithFaultsIsTheSameRun(long seed) {
        check("troubled run of seed " + seed, troubled(seed));
    }

    @Test
    void twoRunsOfOneSeedAreTheSame() {
        RecordedFleet one = troubled(11);
        RecordedFleet other = troubled(11);
        for (String layer : List.of("membership", "agreement", "work")) {
            assertEquals(one.digest(layer), other.digest(layer));
        }
    }

    @Test
    void aPlanInARunComesToItsEnd() {
        RecordedFleet fleet = quiet(1);
        work(fleet, 25);
        List<MaintenanceJob> jobs = fleet.nodes.get("m3").agenda.jobs();
        assertEquals(6, jobs.size());
        assertTrue(jobs.stream().allMatch(j -> j.state() == JobState.IN), jobs::toString);
    }

    @Test
    void theSnapshotOfAnAgendaInTheMiddleOfItsWorkKeepsItsBytes() {
        RecordedFleet fleet = quiet(1);
        work(fleet, 6);
        byte[] snapshot = fleet.nodes.get("m3").agenda.snapshot();
        GOLDEN.assertWritten("snapshot", snapshot);
        MaintenanceStateMachine restored = new MaintenanceStateMachine();
        restored.restore(GOLDEN.bytes("snapshot"));
        assertArrayEquals(GOLDEN.bytes("snapshot"), restored.snapshot());
    }

    @Test
    void aQuestionForLeaveKeepsItsBytes() {
        GOLDEN.assertWritten("leave asked", quiet(1).firsts.get("{\"leave\":\"ask\""));
    }

    @Test
    void anAnswerThatGivesLeaveKeepsItsBytes() {
        GOLDEN.assertWritten("leave given", quiet(1).firsts.get("{\"leave\":\"given\""));
    }
}
