package myrtleladder.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The bytes of each message between control plane and data plane and among control nodes, against
 * golden files. Fields are numbered in the order in which they are declared, and processes of two
 * versions talk to each other during an upgrade: so neither the type bytes nor the order, types and
 * first values of the fields may change. Names of fields and classes are not written and are free.
 */
class MessageCompatibilityTest {
    private static final String FOLDER = "/compatibility/messages/";

    private static Stream<String> names() {
        return SampleMessages.filled().keySet().stream();
    }

    private static byte[] golden(String file) throws IOException {
        try (InputStream in =
                MessageCompatibilityTest.class.getResourceAsStream(FOLDER + file + ".hex")) {
            String text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
        }
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    @SuppressWarnings("unchecked")
    private static <T extends Message> T read(String name) throws IOException {
        return (T) MessageCodec.decode(golden(name));
    }

    @Test
    void eachTypeHasItsByte() {
        List<Integer> types = new ArrayList<>();
        SampleMessages.filled().values().forEach(m -> types.add((int) MessageCodec.encode(m)[0]));
        assertEquals(
                List.of(
                        0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20,
                        21),
                types);
    }

    @Test
    void theByteAfterTheLastTypeIsRefused() {
        MessageFormatException refused =
                assertThrows(
                        MessageFormatException.class, () -> MessageCodec.decode(new byte[] {22}));
        assertEquals(ResultCode.BAD_MESSAGE, refused.code());
    }

    @ParameterizedTest
    @MethodSource("names")
    void aFilledMessageIsWrittenAsTheGoldenBytes(String name) throws IOException {
        assertEquals(
                hex(golden(name)), hex(MessageCodec.encode(SampleMessages.filled().get(name))));
    }

    @ParameterizedTest
    @MethodSource("names")
    void goldenBytesAreReadAndWrittenAgainUnchanged(String name) throws IOException {
        byte[] bytes = golden(name);
        assertEquals(hex(bytes), hex(MessageCodec.encode(MessageCodec.decode(bytes))));
    }

    @ParameterizedTest
    @MethodSource("names")
    void aMessageAsCreatedIsWrittenAsTheGoldenBytes(String name) throws IOException {
        assertEquals(
                hex(golden(name + "-default")),
                hex(MessageCodec.encode(SampleMessages.defaults().get(name))));
    }

    @ParameterizedTest
    @MethodSource("names")
    void goldenDefaultsAreReadAndWrittenAgainUnchanged(String name) throws IOException {
        byte[] bytes = golden(name + "-default");
        assertEquals(hex(bytes), hex(MessageCodec.encode(MessageCodec.decode(bytes))));
    }

    @ParameterizedTest
    @MethodSource("names")
    void aMessageWithoutFieldsIsReadWithTheirFirstValues(String name) throws IOException {
        byte[] type = {golden(name)[0]};
        assertEquals(
                hex(golden(name + "-default")),
                hex(MessageCodec.encode(MessageCodec.decode(type))));
    }

    private static void assertMember(String name, Member member) {
        assertEquals(name + ":1", member.address);
        assertEquals(name + ":2", member.controlAddress);
        assertEquals("store-" + name, member.storeId);
    }

    private static void assertMembers(List<String> names, List<Member> members) {
        assertEquals(names.size(), members.size());
        for (int i = 0; i < names.size(); i++) {
            assertMember(names.get(i), members.get(i));
        }
    }

    private static void assertView(long epoch, View view) {
        assertEquals(epoch, view.epoch);
        assertMember("primary", view.primary);
        assertMembers(List.of("replica-1", "replica-2"), view.replicas);
        assertMembers(List.of("group-1", "group-2", "group-3"), view.group);
        assertMembers(List.of("previous-1"), view.previousGroup);
    }

    private static void assertSnapshot(Snapshot snapshot) {
        assertArrayEquals(new byte[] {1, -2, 3}, snapshot.document);
        assertEquals(1_003, snapshot.generation);
        assertEquals(List.of("order-1", "order-2"), snapshot.changeDigests);
    }

    private static void assertInstances(List<InstanceRecord> records) {
        assertEquals(
                List.of("i-ready", "i-lost", "i-draining", "i-gone"),
                records.stream().map(r -> r.id).toList());
        assertEquals(
                List.of(Stage.READY, Stage.LOST, Stage.DRAINING, Stage.GONE),
                records.stream().map(r -> r.stage).toList());
        for (int i = 0; i < records.size(); i++) {
            InstanceRecord record = records.get(i);
            int number = 21 + i;
            assertEquals("service-" + number, record.service);
            assertEquals("10.0.0." + number + ":80", record.address);
            assertEquals("zone-" + number, record.zone);
            assertEquals(number + 100, record.capacity);
            assertEquals("version-" + number, record.version);
            assertEquals(number + 200, record.heartbeatSequence);
            assertEquals(number + 300, record.weightsVersion);
            assertEquals(number, record.ordinal);
        }
    }

    private static void assertLoad(int first, UpstreamLoad load) {
        assertEquals(first, load.upstreamKey);
        assertEquals(first + 1, load.inFlightRequests);
        assertEquals(first + 2, load.pendingPromptTokens);
    }

    private static void assertPrompt(int first, CachedPrompt prompt) {
        assertEquals(first, prompt.prefixHash);
        assertEquals(first + 1, prompt.upstreamKey);
    }

    private static void assertReport(LoadReport report) {
        assertEquals("edge-1", report.balancer);
        assertEquals(41, report.processId);
        assertEquals(42, report.sequence);
        assertEquals(2, report.loads.size());
        assertLoad(43, report.loads.get(0));
        assertLoad(46, report.loads.get(1));
        assertEquals(1, report.cachedPrompts.size());
        assertPrompt(49, report.cachedPrompts.get(0));
        assertEquals(51, report.epoch);
        assertEquals(52, report.promptRevision);
    }

    private static void assertLoads(FleetLoads loads) {
        assertEquals(61, loads.epoch);
        assertTrue(loads.loadsKnown);
        assertEquals(1, loads.loads.size());
        assertLoad(62, loads.loads.get(0));
        assertEquals(2, loads.cachedPrompts.size());
        assertPrompt(65, loads.cachedPrompts.get(0));
        assertPrompt(67, loads.cachedPrompts.get(1));
        assertEquals(69, loads.promptRevision);
    }

    @Test
    void theStoredStateIsReadWhole() throws IOException {
        StoredState state = read("stored-state");
        assertEquals("store-own", state.storeId);
        assertEquals(100, state.promisedEpoch);
        assertView(99, state.acceptedView);
        assertSnapshot(state.snapshot);
        assertInstances(state.instances);
    }

    @Test
    void theMessagesOfACandidacyAreReadWhole() throws IOException {
        PrepareRequest prepare = read("prepare");
        assertEquals(101, prepare.epoch);
        assertMember("candidate", prepare.candidate);
        assertTrue(prepare.preVote);
        PrepareResponse promise = read("promise");
        assertTrue(promise.granted);
        assertEquals(102, promise.promisedEpoch);
        assertMember("voter", promise.member);
        assertView(98, promise.acceptedView);
        assertInstances(promise.instances);
        InstallStateRequest install = read("install");
        assertEquals(103, install.epoch);
        assertSnapshot(install.snapshot);
        assertInstances(install.instances);
    }

    /** The golden files were written by a version without these fields. */
    @Test
    void theHolderOfAPromiseAndTheSenderOfAStateAreWrittenAndReadAgain() {
        Member candidate = SampleMessages.member("candidate");
        StoredState stored = SampleMessages.storedState().withPromise(101, candidate);
        StoredState loaded = (StoredState) MessageCodec.decode(MessageCodec.encode(stored));
        assertTrue(loaded.hasPromised(101, candidate));
        assertMember("candidate", loaded.promisedCandidate);
        Message install =
                InstallStateRequest.of(103, candidate, SampleMessages.snapshot(), List.of());
        Message received = MessageCodec.decode(MessageCodec.encode(install));
        assertMember("candidate", ((InstallStateRequest) received).candidate);
    }

    @Test
    void theMessagesOfAPrimaryAreReadWhole() throws IOException {
        assertView(104, MessageCompatibilityTest.<AcceptViewRequest>read("accept").view);
        ReplicateRequest replicate = read("replicate");
        assertEquals(105, replicate.epoch);
        assertArrayEquals(new byte[] {9, 8, 7}, replicate.document);
        assertEquals(1_005, replicate.generation);
        assertEquals("order-5", replicate.changeDigest);
        assertView(106, MessageCompatibilityTest.<HeartbeatRequest>read("heartbeat").view);
        assertEquals(107, MessageCompatibilityTest.<ResignRequest>read("resign").epoch);
        ShareInstancesRequest share = read("share-instances");
        assertEquals(111, share.epoch);
        assertInstances(share.instances);
        assertTrue(share.syncRequired);
    }

    @Test
    void theAnswersOfAFollowerAreReadWhole() throws IOException {
        AcknowledgeResponse acknowledge = read("acknowledge");
        assertTrue(acknowledge.accepted);
        assertEquals(108, acknowledge.promisedEpoch);
        assertMember("follower", acknowledge.member);
    }

    @Test
    void theMessagesOfAMemberThatComesOrGoesAreReadWhole() throws IOException {
        assertMember("joiner", MessageCompatibilityTest.<JoinRequest>read("join").member);
        assertView(110, MessageCompatibilityTest.<JoinResponse>read("join-reply").view);
        assertMember("leaver", MessageCompatibilityTest.<LeaveRequest>read("leave").member);
        LeaveResponse reply = read("leave-reply");
        assertTrue(reply.released);
        assertView(118, reply.view);
        assertEquals("edge-16", MessageCompatibilityTest.<BalancerHeartbeat>read("alive").balancer);
    }

    @Test
    void thePollOfABalancerIsReadWhole() throws IOException {
        PollRequest poll = read("poll");
        assertEquals("edge-2", poll.balancer);
        assertEquals("edge-2:1", poll.address);
        assertEquals(List.of("edge-3", "edge-4"), poll.liveBalancers);
        assertEquals(71, poll.balancerListRevision);
        assertTrue(poll.leaving);
        assertEquals(72, poll.epoch);
        assertEquals(73, poll.generation);
        assertEquals(74, poll.instanceRevision);
        assertTrue(poll.hasAuthoritativeList);
        assertEquals(75, poll.balancerCount);
        assertEquals(1, poll.inFlightAtDraining.size());
        assertEquals("i-draining", poll.inFlightAtDraining.get(0).instanceId);
        assertEquals(76, poll.inFlightAtDraining.get(0).requests);
        assertTrue(poll.immediate);
        assertReport(poll.loadReport);
    }

    @Test
    void theReplyToAPollIsReadWhole() throws IOException {
        PollResponse reply = read("poll-reply");
        assertTrue(reply.fromPrimary);
        assertEquals("primary:1", reply.primaryAddress);
        assertEquals(List.of("core-1:1", "core-2:1"), reply.controlNodeAddresses);
        assertEquals(81, reply.epoch);
        assertEquals(82, reply.generation);
        assertArrayEquals(new byte[] {4, 5, -6}, reply.document);
        assertEquals(83, reply.instanceRevision);
        assertTrue(reply.fullInstanceList);
        assertTrue(reply.authoritative);
        assertInstances(reply.instances);
        assertEquals(84, reply.balancerListRevision);
        assertEquals(1, reply.balancerList.size());
        assertEquals("edge-5", reply.balancerList.get(0).name);
        assertEquals("edge-5:1", reply.balancerList.get(0).address);
        assertEquals(85, reply.balancerCount);
        assertLoads(reply.fleetLoads);
    }

    @Test
    void theMessagesOfQuotasAreReadWhole() throws IOException {
        QuotaRequest ask = read("quota-ask");
        assertEquals("tenant-1", ask.tenant);
        assertEquals(91.5, ask.units);
        assertReport(ask.loadReport);
        QuotaResponse grant = read("quota-grant");
        assertTrue(grant.fromPrimary);
        assertEquals(92.25, grant.grantedUnits);
        assertEquals(93, grant.waitMs);
        assertLoads(grant.fleetLoads);
    }

    @Test
    void anInstanceWithoutFieldsHasUnknownWeightsAndNoOrdinal() throws IOException {
        // a record as an older process writes it: an id and nothing behind it
        ShareInstancesRequest share =
                (ShareInstancesRequest)
                        MessageCodec.decode(HexFormat.of().parseHex("0b0807130a016914"));
        InstanceRecord record = share.instances.get(0);
        assertEquals("i", record.id);
        assertEquals(-1, record.weightsVersion);
        assertEquals(0, record.ordinal);
        assertEquals(Stage.READY, record.stage);
        assertNull(MessageCompatibilityTest.<StoredState>read("stored-state-default").acceptedView);
    }
}
