package myrtleladder.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/**
 * Whatever is written is read as the same; whatever else comes is refused by a reason, or is no
 * harm.
 */
class MessageCodecProperties {
    private static final String FLEET = "dhaka";
    private static final StateMachine NOTHING =
            new StateMachine() {
                @Override
                public void apply(FencingToken token, ProcessId by, byte[] command) {
                    throw new AssertionError("a made-up message was decided");
                }

                @Override
                public void view(View view) {}

                @Override
                public byte[] snapshot() {
                    return new byte[0];
                }

                @Override
                public void restore(byte[] snapshot) {}
            };

    @Provide
    Arbitrary<ProcessId> lives() {
        return Combinators.combine(
                        Arbitraries.strings()
                                .withCharRange(' ', '\ud7ff')
                                .ofMinLength(1)
                                .ofMaxLength(12),
                        Arbitraries.longs())
                .as(ProcessId::new);
    }

    private static Arbitrary<Term> terms() {
        return Combinators.combine(
                        Arbitraries.longs().greaterOrEqual(0),
                        Arbitraries.longs().greaterOrEqual(0))
                .as(Term::new);
    }

    private static Arbitrary<Map<String, Long>> cuts() {
        return Arbitraries.maps(
                        Arbitraries.strings().alpha().ofMinLength(1).ofMaxLength(64),
                        Arbitraries.longs())
                .ofMaxSize(4)
                .map(TreeMap::new);
    }

    private static LogEntry entry(
            long index,
            Term term,
            LogEntry.Kind kind,
            Map<String, Long> change,
            ProcessId by,
            long number,
            byte[] bytes) {
        return switch (kind) {
            case COMMAND -> new LogEntry(index, term, kind, Map.of(), null, by, number, bytes);
            case LEADER_CHANGE ->
                    new LogEntry(index, term, kind, Map.of(), null, null, number, null);
            default -> new LogEntry(index, term, kind, change, null, null, number, null);
        };
    }

    private Arbitrary<LogEntry> entries() {
        return Combinators.combine(
                        Arbitraries.longs().greaterOrEqual(1),
                        terms(),
                        Arbitraries.of(LogEntry.Kind.class),
                        cuts(),
                        lives(),
                        Arbitraries.longs(),
                        Arbitraries.bytes().array(byte[].class).ofMaxSize(40))
                .as(MessageCodecProperties::entry);
    }

    @Provide
    Arbitrary<MessageFrame> messages() {
        Arbitrary<List<LogEntry>> logs = entries().list().ofMaxSize(3);
        Arbitrary<byte[]> bytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(60);
        Arbitrary<MessageFrame> heads =
                Combinators.combine(
                                Arbitraries.of(MessageFrame.Kind.class),
                                lives(),
                                lives().injectNull(0.3),
                                terms(),
                                Arbitraries.longs(),
                                terms(),
                                Arbitraries.longs())
                        .as(MessageFrame::of);
        return Combinators.combine(
                        heads,
                        logs,
                        bytes,
                        Arbitraries.longs(),
                        cuts(),
                        Arbitraries.integers().between(0, 7))
                .as(
                        (m, log, b, offset, cut, is) ->
                                m.withEntries(log, offset)
                                        .withBytes(b, offset, offset)
                                        .withMemberChanges(cut)
                                        .withFlags((is & 1) != 0, (is & 2) != 0, (is & 4) != 0));
    }

    @Property(tries = 500, seed = "18")
    void whatIsWrittenIsReadAsTheSame(@ForAll("messages") MessageFrame message) throws Exception {
        byte[] datagram = MessageEncoder.encode(FLEET, message);
        assertTrue(ConsensusNode.isConsensusDatagram(datagram));
        MessageFrame read = MessageDecoder.decode(datagram, FLEET);
        assertArrayEquals(datagram, MessageEncoder.encode(FLEET, read));
        assertEquals(message.from(), read.from());
        assertEquals(message.memberChanges(), read.memberChanges());
        assertArrayEquals(message.bytes(), read.bytes());
    }

    /** Broken on the way, or made up: refused by a reason, and a process that hears it goes on. */
    @Property(tries = 500, seed = "18")
    void whatIsBrokenIsRefused(
            @ForAll("messages") MessageFrame message,
            @ForAll @IntRange(max = 2_000) int at,
            @ForAll byte other,
            @ForAll boolean cut) {
        byte[] whole = MessageEncoder.encode(FLEET, message);
        byte[] datagram = cut ? Arrays.copyOf(whole, at % whole.length) : whole.clone();
        if (!cut) {
            datagram[at % datagram.length] = other;
        }
        ConsensusNode agreement =
                new ConsensusNode(
                        ConsensusSettings.of(FLEET, List.of("a", "b", "c")),
                        new ProcessId("a", 1),
                        1,
                        NOTHING,
                        new ConsensusEnvironment() {
                            @Override
                            public void send(String name, byte[] bytes) {}

                            @Override
                            public void scheduleTimer(String timer, long delayUs) {}

                            @Override
                            public long wallClockUs() {
                                return 0;
                            }

                            @Override
                            public void onEvent(ConsensusEvent event) {}
                        });
        agreement.start(0);
        agreement.onDatagram(1, datagram);
        assertTrue(
                !cut || agreement.droppedDatagrams().values().stream().mapToLong(v -> v).sum() == 1,
                () -> "refused " + agreement.droppedDatagrams());
        assertEquals(0, agreement.lastApplied());
    }
}
