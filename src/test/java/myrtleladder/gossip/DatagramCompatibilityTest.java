package myrtleladder.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import myrtleladder.cluster.GoldenFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Pins the datagrams of the gossip protocol: field names and order, names of kinds and states, the
 * digest of a claim, and limits. Processes of two builds run side by side during a rolling update,
 * so each has to read what the other writes and to come to the same digest.
 */
class DatagramCompatibilityTest {
    private static final GoldenFile GOLDEN = new GoldenFile("member-datagrams.txt");
    private static final MemberMetadata META =
            new MemberMetadata("zone-a", "1.4.2", 1_700_000_000_123L, List.of("drain", "permit"));
    private static final MemberUpdate ME =
            new MemberUpdate(
                    "b0",
                    0xfedcba9876543210L,
                    7,
                    MemberState.ALIVE,
                    false,
                    "10.0.0.1:7400",
                    "b0",
                    META);

    private static MemberUpdate claim(String name, MemberState state) {
        return new MemberUpdate(
                name, 0x1234, 3, state, false, "10.0.0.2:7400", "b0", MemberMetadata.NONE);
    }

    private static GossipDatagram plain(GossipDatagram.Kind kind) {
        return new GossipDatagram("dhaka", kind, ME, 42, 0xabcL, null, List.of(), 0, List.of());
    }

    private static void check(String name, GossipDatagram message) throws Exception {
        GOLDEN.assertWritten(name, GossipCodec.encode(message));
        assertEquals(message, GossipCodec.decode(GOLDEN.bytes(name), "dhaka"));
    }

    private static String refusal(String datagram) {
        byte[] bytes = datagram.getBytes(StandardCharsets.UTF_8);
        return assertThrows(
                        RejectedDatagramException.class, () -> GossipCodec.decode(bytes, "dhaka"))
                .getMessage();
    }

    @ParameterizedTest
    @EnumSource(GossipDatagram.Kind.class)
    void eachKindOfMessageKeepsItsBytes(GossipDatagram.Kind kind) throws Exception {
        check("kind " + kind.ordinal(), plain(kind));
    }

    @ParameterizedTest
    @EnumSource(MemberState.class)
    void aClaimOfEachStateKeepsItsBytes(MemberState state) throws Exception {
        check(
                "state " + state.ordinal(),
                new GossipDatagram(
                        "dhaka",
                        GossipDatagram.Kind.GOSSIP,
                        ME,
                        0,
                        -1,
                        null,
                        List.of(),
                        0,
                        List.of(claim("b1", state), ME)));
    }

    @Test
    void aMessageWithAllFieldsKeepsItsBytes() throws Exception {
        MemberUpdate rival =
                new MemberUpdate(
                        "b2", -1, 1L << 52, MemberState.DEAD, true, "[::1]:7400", "b3", META);
        check(
                "all fields",
                new GossipDatagram(
                        "dhaka",
                        GossipDatagram.Kind.PING_REQUEST,
                        ME,
                        Long.MAX_VALUE,
                        Long.MIN_VALUE,
                        "b9",
                        List.of(0L, 1L, -1L),
                        0x8000000000000001L,
                        List.of(rival, claim("b4", MemberState.SUSPECT))));
    }

    @Test
    void theLongestFieldsFit() throws Exception {
        String longest = "n".repeat(64);
        MemberMetadata meta =
                new MemberMetadata(
                        longest, longest, Long.MAX_VALUE, Collections.nCopies(8, longest));
        MemberUpdate claim =
                new MemberUpdate(
                        longest, -1, 1L << 52, MemberState.LEFT, true, longest, longest, meta);
        check(
                "longest fields",
                new GossipDatagram(
                        "dhaka",
                        GossipDatagram.Kind.UPDATES,
                        claim,
                        1,
                        1,
                        longest,
                        List.of(),
                        0,
                        List.of(claim)));
    }

    @Test
    void asManyDigestsAndClaimsAsAllowedFit() throws Exception {
        check(
                "most claims",
                new GossipDatagram(
                        "dhaka",
                        GossipDatagram.Kind.DIGESTS,
                        ME,
                        1,
                        1,
                        null,
                        Collections.nCopies(64, -1L),
                        -1,
                        Collections.nCopies(64, claim("b1", MemberState.ALIVE))));
    }

    @Test
    void oneClaimMoreThanAllowedIsRefused() {
        List<MemberUpdate> claims = Collections.nCopies(65, claim("b1", MemberState.ALIVE));
        GossipDatagram message =
                new GossipDatagram(
                        "dhaka", GossipDatagram.Kind.GOSSIP, ME, 1, 1, null, List.of(), 0, claims);
        byte[] bytes = GossipCodec.encode(message);
        assertEquals("malformed", refusal(new String(bytes, StandardCharsets.UTF_8)));
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
    void theSizeOfAClaimIsTheOneThatPackingCountsOn() {
        GOLDEN.assertWritten("size of a claim", Integer.toString(GossipCodec.encodedSize(ME)));
    }

    @Test
    void theDigestOfAClaimIsTheSameInAllBuilds() {
        GOLDEN.assertWritten("hash of a claim", Long.toHexString(ME.hash()));
    }

    @Test
    void theOrderOfStatesDecidesBetweenClaims() {
        assertEquals("[ALIVE, SUSPECT, DEAD, LEFT]", Arrays.toString(MemberState.values()));
    }

    @Test
    void theNamesOfEventsInTheLogStay() {
        assertEquals(
                "[JOINED, RESTARTED, SUSPECTED, REFUTED, DIED, LEFT, RIVAL, RIVAL_GONE, STARVED,"
                        + " CONTRADICTED]",
                Arrays.toString(MemberEvent.Kind.values()));
    }

    @Test
    void theFiguresThatHoldUnlessConfiguredStay() {
        assertEquals(
                new GossipSettings(
                        "dhaka", 300_000, 100_000, 3, 2, 4, 6, 3, 4, 600_000_000L, 10_000, 1_400),
                GossipSettings.of("dhaka"));
    }
}
