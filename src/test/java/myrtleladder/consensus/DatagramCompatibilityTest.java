package myrtleladder.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import myrtleladder.cluster.GoldenFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Pins the datagrams and snapshots of the agreement: field names and order, names of kinds, lives,
 * terms, flags. Processes of two builds vote and copy logs between them during a rolling update, so
 * each has to read what the other writes.
 */
class DatagramCompatibilityTest {
    private static final GoldenFile GOLDEN = new GoldenFile("agree-datagrams.txt");
    private static final ProcessId ME = new ProcessId("b0", 0x7edcba9876543210L);
    private static final ProcessId OTHER = new ProcessId("b1", 0x1234);
    private static final Term TERM = new Term(1_700_000_000_123L, 5);
    private static final Term BEFORE = new Term(1_700_000_000_123L, 4);
    private static final byte[] COMMAND = {0, 1, -1, 'x'};
    private static final Map<String, Long> CHANGE = new TreeMap<>(Map.of("b1", 0x1234L, "b2", 0L));

    private static MessageFrame plain(MessageFrame.Kind kind) {
        return MessageFrame.of(kind, ME, OTHER, TERM, 17, BEFORE, 42);
    }

    private static LogEntry entry(LogEntry.Kind kind) {
        boolean command = kind == LogEntry.Kind.COMMAND;
        boolean view = kind == LogEntry.Kind.BOOTSTRAP || kind == LogEntry.Kind.VIEW_CHANGE;
        return new LogEntry(
                18 + kind.ordinal(),
                TERM,
                kind,
                view ? CHANGE : Map.of(),
                null,
                command ? OTHER : null,
                9,
                command ? COMMAND : null);
    }

    /** Arrays compare by identity in records, so the parts are compared one by one. */
    private static void assertSame(LogEntry expected, LogEntry read) {
        assertEquals(expected.index(), read.index());
        assertEquals(expected.term(), read.term());
        assertEquals(expected.kind(), read.kind());
        assertEquals(expected.memberChanges(), read.memberChanges());
        assertEquals(expected.proposer(), read.proposer());
        assertEquals(expected.sequence(), read.sequence());
        assertArrayEquals(expected.command(), read.command());
    }

    private static void check(String name, MessageFrame m) throws Exception {
        GOLDEN.assertWritten(name, MessageEncoder.encode("dhaka", m));
        MessageFrame read = MessageDecoder.decode(GOLDEN.bytes(name), "dhaka");
        assertEquals(m.kind(), read.kind());
        assertEquals(m.from(), read.from());
        assertEquals(m.to(), read.to());
        assertEquals(m.term(), read.term());
        assertEquals(m.index(), read.index());
        assertEquals(m.indexTerm(), read.indexTerm());
        assertEquals(m.number(), read.number());
        assertEquals(m.offset(), read.offset());
        assertEquals(m.total(), read.total());
        assertEquals(m.isPositive(), read.isPositive());
        assertEquals(m.isVoter(), read.isVoter());
        assertEquals(m.isReadyToBootstrap(), read.isReadyToBootstrap());
        assertEquals(m.memberChanges(), read.memberChanges());
        assertArrayEquals(m.bytes(), read.bytes());
        assertEquals(m.entries().size(), read.entries().size());
        for (int i = 0; i < m.entries().size(); i++) {
            assertSame(m.entries().get(i), read.entries().get(i));
        }
        assertTrue(MessageEncoder.isConsensusDatagram(GOLDEN.bytes(name)));
    }

    private static String refusal(String datagram) {
        byte[] bytes = datagram.getBytes(StandardCharsets.UTF_8);
        return assertThrows(
                        MessageDecoder.DecodingException.class,
                        () -> MessageDecoder.decode(bytes, "dhaka"))
                .getMessage();
    }

    @ParameterizedTest
    @EnumSource(MessageFrame.Kind.class)
    void eachKindOfMessageKeepsItsBytes(MessageFrame.Kind kind) throws Exception {
        check("kind " + kind.ordinal(), plain(kind));
    }

    @ParameterizedTest
    @EnumSource(LogEntry.Kind.class)
    void eachKindOfEntryKeepsItsBytes(LogEntry.Kind kind) throws Exception {
        check(
                "entry " + kind.ordinal(),
                plain(MessageFrame.Kind.APPEND_REQUEST).withEntries(List.of(entry(kind)), 16));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7})
    void eachSetOfFlagsKeepsItsBytes(int flags) throws Exception {
        MessageFrame say = plain(MessageFrame.Kind.PRE_VOTE_RESPONSE);
        check(
                "flags " + flags,
                say.withFlags((flags & 1) != 0, (flags & 2) != 0, (flags & 4) != 0));
    }

    @Test
    void aFirstWordHasNoReceiverAndNoTerm() throws Exception {
        check(
                "first word",
                MessageFrame.of(
                        MessageFrame.Kind.PRE_VOTE_REQUEST, ME, null, Term.NONE, -1, Term.NONE, 0));
    }

    @Test
    void aMessageWithAllFieldsKeepsItsBytes() throws Exception {
        check(
                "all fields",
                plain(MessageFrame.Kind.APPEND_REQUEST)
                        .withBytes(COMMAND, 1_000, 2_000)
                        .withEntries(
                                Arrays.stream(LogEntry.Kind.values()).map(k -> entry(k)).toList(),
                                7)
                        .withMemberChanges(CHANGE)
                        .withFlags(true, true, true));
    }

    @Test
    void aPartOfASnapshotKeepsItsBytes() throws Exception {
        byte[] part = new byte[900];
        Arrays.fill(part, (byte) 0xA5);
        check(
                "part of a snapshot",
                plain(MessageFrame.Kind.SNAPSHOT_CHUNK).withBytes(part, 900, 1_800));
    }

    @Test
    void aSnapshotKeepsItsBytes() throws Exception {
        Map<ProcessId, Long> taken = new LinkedHashMap<>();
        taken.put(OTHER, 9L);
        taken.put(ME, 0L);
        View view = new View(1_700_000_000_123L, 3, Map.of("b1", 0x1234L, "b0", ME.startId()));
        GOLDEN.assertWritten(
                "snapshot", MessageEncoder.encode(new NodeSnapshot(view, taken, COMMAND)));
        NodeSnapshot read = MessageDecoder.decodeSnapshot(GOLDEN.bytes("snapshot"));
        assertEquals(view, read.view());
        assertEquals(
                List.copyOf(taken.entrySet()), List.copyOf(read.appliedSequences().entrySet()));
        assertArrayEquals(COMMAND, read.stateMachine());
    }

    @ParameterizedTest
    @EnumSource(LogEntry.Kind.class)
    void theSizeOfAnEntryIsTheOneThatPackingCountsOn(LogEntry.Kind kind) {
        String size = Integer.toString(MessageEncoder.encodedSize(entry(kind)));
        GOLDEN.assertWritten("size of entry " + kind.ordinal(), size);
    }

    @Test
    void aDatagramOfTheGossipIsNotOurs() {
        byte[] gossip = "{\"v\":1,\"fleet\":\"dhaka\"}".getBytes(StandardCharsets.UTF_8);
        assertFalse(MessageEncoder.isConsensusDatagram(gossip));
    }

    @Test
    void anotherVersionIsRefusedAsSuch() {
        assertEquals("version", refusal(GOLDEN.text("kind 0").replace("\"v\":1", "\"v\":2")));
    }

    @Test
    void anotherFleetIsRefusedAsForeign() {
        assertEquals("foreign", refusal(GOLDEN.text("kind 0").replace("dhaka", "delhi")));
    }

    @Test
    void anUnknownFieldIsRefusedAsMalformed() {
        assertEquals("malformed", refusal(GOLDEN.text("kind 0").replace("\"no\"", "\"number\"")));
    }

    @Test
    void theNamesOfNotesInTheLogStay() {
        assertEquals(
                "[LEADS, LEADS_NO_MORE, FOUNDED, VIEW, RESTORED, CUT_OFF, JOINED]",
                Arrays.toString(ConsensusEvent.Kind.values()));
    }

    @Test
    void aLifeIsShownAsNameAndHexadecimalNumber() {
        assertEquals("b1/1234", OTHER.toString());
    }

    @Test
    void theFiguresThatHoldUnlessConfiguredStay() {
        List<String> council = List.of("b0", "b1", "b2");
        assertEquals(
                new ConsensusSettings(
                        "dhaka", council, 200_000, 800_000, 3_000_000, 3_000_000, 256, 1_400),
                ConsensusSettings.of("dhaka", council));
    }
}
