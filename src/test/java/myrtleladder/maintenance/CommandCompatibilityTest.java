package myrtleladder.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import myrtleladder.cluster.GoldenFile;
import myrtleladder.consensus.Life;
import myrtleladder.consensus.Token;
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
    private static final Token TOKEN = new Token(1_700_000_000_123L, 18);
    private static final Token LATER = new Token(1_700_000_000_123L, 23);
    private static final Terms TERMS =
            new Terms("patch", 12, 3, 1, Terms.Apart.CELL, 80, 60, 5, 1_800_000_000_000L);
    private static final Part PART = new Part("host-7", "u7", "b7", 1, 2, 3, 600);

    private static void check(String name, Command command) throws Exception {
        GOLDEN.assertWritten(name, command.write());
        assertEquals(command, Command.read(GOLDEN.bytes(name)));
    }

    private static void check(String name, Job job) throws Exception {
        GOLDEN.assertWritten(name, Json.write(job.toMap()));
        assertEquals(job, Job.of(Json.read(GOLDEN.bytes(name))));
    }

    @ParameterizedTest
    @EnumSource(Command.Kind.class)
    void eachKindOfCommandKeepsItsBytes(Command.Kind kind) throws Exception {
        check("kind " + kind.ordinal(), Command.of(kind, "host-7", TOKEN));
    }

    @Test
    void aCommandWithAllFieldsKeepsItsBytes() throws Exception {
        check(
                "all fields",
                new Command(
                        Command.Kind.GRANT,
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
        check("no fields", Command.of(Command.Kind.RESUME, null, null));
    }

    @Test
    void aPlanAndItsMachinesKeepTheirBytes() {
        Part bare = new Part("host-8", null, null, 0, 0, 0, 0);
        List<Step> steps = Step.plan(TERMS, List.of(PART, bare));
        for (int i = 0; i < steps.size(); i++) {
            GOLDEN.assertWritten("step of a plan " + i, steps.get(i).bytes());
        }
        assertEquals(3, steps.size());
    }

    @Test
    void eachStepOfOperatorsKeepsItsBytes() {
        GOLDEN.assertWritten("step done", Step.done("host-7", TOKEN).bytes());
        GOLDEN.assertWritten("step halt", Step.halt("too hot").bytes());
        GOLDEN.assertWritten("step resume", Step.resume().bytes());
        GOLDEN.assertWritten("step withdraw", Step.withdraw("patch", "not now").bytes());
        GOLDEN.assertWritten("step first", Step.first("host-7").bytes());
        GOLDEN.assertWritten("step ended", Step.ended("b7").bytes());
        GOLDEN.assertWritten("step safe", Step.safe(1_700_000_000_123L).bytes());
    }

    @ParameterizedTest
    @EnumSource(Terms.Apart.class)
    void termsWithEachSeparationKeepTheirBytes(Terms.Apart apart) throws Exception {
        check(
                "terms " + apart.ordinal(),
                Command.plan(new Terms("patch", 1, 1, 1, apart, 50, 4, -1, 0)));
    }

    @ParameterizedTest
    @EnumSource(State.class)
    void aJobInEachStateKeepsItsBytes(State state) throws Exception {
        Job job =
                new Job(
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
                        Set.of(new Life("b1", 0x1234), new Life("b0", -1), new Life("b1", 7)),
                        "why");
        check("job " + state.ordinal(), job);
    }

    @Test
    void aJobThatWaitsKeepsItsBytes() throws Exception {
        check("job that waits", Job.of(PART, "patch", TOKEN, 0, null));
    }

    @Test
    void aJobThatWasRefusedKeepsItsBytes() throws Exception {
        check("job that was refused", Job.of(PART, "patch", TOKEN, 0, "known already"));
    }

    @Test
    void theReasonsAgainstAPlanAreWordedAsBefore() {
        Terms none = new Terms("p", 0, 1, 1, Terms.Apart.NOTHING, 50, 4, 0, 0);
        Terms still = new Terms("p", 1, 0, 1, Terms.Apart.NOTHING, 50, 4, 0, 0);
        Terms full = new Terms("p", 1, 1, 1, Terms.Apart.NOTHING, 90, 4, 0, 0);
        GOLDEN.assertWritten("never, no machine", none.never());
        GOLDEN.assertWritten("never, none at once", still.never());
        GOLDEN.assertWritten("never, none to spare", full.never());
    }

    @Test
    void theNamesOfStatesShownToOperatorsStay() {
        assertEquals(
                "[ASKED, DRAINING, OUT, OVERDUE, WARMING, FAILED, IN, WITHDRAWN, REFUSED]",
                Arrays.toString(State.values()));
    }

    @Test
    void aCommandOfAnUnknownKindIsRefused() {
        byte[] bytes = "{\"do\":\"PAINT\"}".getBytes(StandardCharsets.UTF_8);
        assertThrows(IOException.class, () -> Command.read(bytes));
    }

    @Test
    void aTruncatedCommandIsRefused() {
        byte[] whole = GOLDEN.bytes("all fields");
        byte[] half = Arrays.copyOf(whole, whole.length / 2);
        assertThrows(IOException.class, () -> Command.read(half));
    }

    @Test
    void theFiguresThatHoldUnlessConfiguredStay() {
        assertEquals(
                new WorkSettings("dhaka", 200_000, 1_500_000, 9, 1_000, 3_000_000, 10),
                WorkSettings.of("dhaka", 9, 10));
    }
}
