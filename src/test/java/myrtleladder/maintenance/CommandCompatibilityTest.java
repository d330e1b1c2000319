package myrtleladder.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import myrtleladder.cluster.GoldenFile;
import myrtleladder.consensus.FencingToken;
import myrtleladder.consensus.ProcessId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Pins the commands on machines as the log carries them, and jobs, plans and parts as snapshots
 * hold them. Processes of two builds apply one log during a rolling update, so each has to read
 * what the other writes, and the same state has to give the same bytes.
 */
class CommandCompatibilityTest {
    private static final GoldenFile GOLDEN = new GoldenFile("work-commands.txt");
    private static final FencingToken TOKEN = new FencingToken(1_700_000_000_123L, 18);
    private static final FencingToken LATER = new FencingToken(1_700_000_000_123L, 23);
    private static final PlanTerms TERMS =
            new PlanTerms("patch", 12, 3, 1, PlanTerms.Apart.CELL, 80, 60, 5, 1_800_000_000_000L);
    private static final MachineSpec PART = new MachineSpec("host-7", "u7", "b7", 1, 2, 3, 600);

    private static void check(String name, MaintenanceCommand command) throws Exception {
        GOLDEN.assertWritten(name, command.write());
        assertEquals(command, MaintenanceCommand.read(GOLDEN.bytes(name)));
    }

    private static void check(String name, MaintenanceJob job) throws Exception {
        GOLDEN.assertWritten(name, JsonMaps.write(job.toMap()));
        assertEquals(job, MaintenanceJob.of(JsonMaps.read(GOLDEN.bytes(name))));
    }

    @ParameterizedTest
    @EnumSource(MaintenanceCommand.Kind.class)
    void eachKindOfCommandKeepsItsBytes(MaintenanceCommand.Kind kind) throws Exception {
        check("kind " + kind.ordinal(), MaintenanceCommand.of(kind, "host-7", TOKEN));
    }

    @Test
    void aCommandWithAllFieldsKeepsItsBytes() throws Exception {
        check(
                "all fields",
                new MaintenanceCommand(
                        MaintenanceCommand.Kind.GRANT,
                        "host-7",
                        TOKEN,
                        1_700_000_600_000L,
                        "ünïcode \"quoted\" \\ \t",
                        TERMS,
                        PART,
                        List.of("u1", "u2")));
    }

    @Test
    void aCommandWithoutFieldsKeepsItsBytes() throws Exception {
        check("no fields", MaintenanceCommand.of(MaintenanceCommand.Kind.RESUME, null, null));
    }

    @Test
    void aPlanAndItsMachinesKeepTheirBytes() {
        MachineSpec bare = new MachineSpec("host-8", null, null, 0, 0, 0, 0);
        List<OperatorCommand> steps = OperatorCommand.plan(TERMS, List.of(PART, bare));
        for (int i = 0; i < steps.size(); i++) {
            GOLDEN.assertWritten("step of a plan " + i, steps.get(i).bytes());
        }
        assertEquals(3, steps.size());
    }

    @Test
    void eachStepOfOperatorsKeepsItsBytes() {
        GOLDEN.assertWritten("step done", OperatorCommand.done("host-7", TOKEN).bytes());
        GOLDEN.assertWritten("step halt", OperatorCommand.halt("too hot").bytes());
        GOLDEN.assertWritten("step resume", OperatorCommand.resume().bytes());
        GOLDEN.assertWritten("step withdraw", OperatorCommand.withdraw("patch", "not now").bytes());
        GOLDEN.assertWritten("step first", OperatorCommand.first("host-7").bytes());
        GOLDEN.assertWritten("step ended", OperatorCommand.ended("b7").bytes());
        GOLDEN.assertWritten("step safe", OperatorCommand.safe(1_700_000_000_123L).bytes());
    }

    @ParameterizedTest
    @EnumSource(PlanTerms.Apart.class)
    void termsWithEachSeparationKeepTheirBytes(PlanTerms.Apart apart) throws Exception {
        check(
                "terms " + apart.ordinal(),
                MaintenanceCommand.plan(new PlanTerms("patch", 1, 1, 1, apart, 50, 4, -1, 0)));
    }

    @ParameterizedTest
    @EnumSource(JobState.class)
    void aJobInEachStateKeepsItsBytes(JobState state) throws Exception {
        MaintenanceJob job =
                new MaintenanceJob(
                        PART,
                        "patch",
                        TOKEN,
                        4,
                        true,
                        true,
                        state,
                        TOKEN,
                        LATER,
                        1_700_000_600_000L,
                        Set.of(
                                new ProcessId("b1", 0x1234),
                                new ProcessId("b0", -1),
                                new ProcessId("b1", 7)),
                        "why");
        check("job " + state.ordinal(), job);
    }

    @Test
    void aJobThatWaitsKeepsItsBytes() throws Exception {
        check("job that waits", MaintenanceJob.of(PART, "patch", TOKEN, 0, null));
    }

    @Test
    void aJobThatWasRefusedKeepsItsBytes() throws Exception {
        check("job that was refused", MaintenanceJob.of(PART, "patch", TOKEN, 0, "known already"));
    }

    @Test
    void theReasonsAgainstAPlanAreWordedAsBefore() {
        PlanTerms none = new PlanTerms("p", 0, 1, 1, PlanTerms.Apart.NOTHING, 50, 4, 0, 0);
        PlanTerms still = new PlanTerms("p", 1, 0, 1, PlanTerms.Apart.NOTHING, 50, 4, 0, 0);
        PlanTerms full = new PlanTerms("p", 1, 1, 1, PlanTerms.Apart.NOTHING, 90, 4, 0, 0);
        GOLDEN.assertWritten("never, no machine", none.never());
        GOLDEN.assertWritten("never, none at once", still.never());
        GOLDEN.assertWritten("never, none to spare", full.never());
    }

    @Test
    void theNamesOfStatesShownToOperatorsStay() {
        assertEquals(
                "[ASKED, DRAINING, OUT, OVERDUE, WARMING, FAILED, IN, WITHDRAWN, REFUSED]",
                Arrays.toString(JobState.values()));
    }

    @Test
    void aCommandOfAnUnknownKindIsRefused() {
        byte[] bytes = "{\"do\":\"PAINT\"}".getBytes(StandardCharsets.UTF_8);
        assertThrows(IOException.class, () -> MaintenanceCommand.read(bytes));
    }

    @Test
    void aTruncatedCommandIsRefused() {
        byte[] whole = GOLDEN.bytes("all fields");
        byte[] half = Arrays.copyOf(whole, whole.length / 2);
        assertThrows(IOException.class, () -> MaintenanceCommand.read(half));
    }

    @Test
    void theFiguresThatHoldUnlessConfiguredStay() {
        assertEquals(
                new MaintenanceSettings("dhaka", 200_000, 1_500_000, 9, 1_000, 3_000_000, 10),
                MaintenanceSettings.of("dhaka", 9, 10));
    }
}
