package myrtleladder.protocol;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.InstanceRecord.Stage;

/** A message of each type with every field set to a value of its own, and one as it is created. */
final class SampleMessages {
    private SampleMessages() {}

    /** The messages by the names of their golden files, in the order of their type bytes. */
    static Map<String, Message> filled() {
        Map<String, Message> all = new LinkedHashMap<>();
        all.put("stored-state", storedState());
        all.put("prepare", PrepareRequest.of(101, member("candidate"), true));
        all.put("promise", promise());
        all.put("install", InstallStateRequest.of(103, null, snapshot(), instances()));
        all.put("accept", AcceptViewRequest.of(view(104)));
        all.put("replicate", ReplicateRequest.of(105, new byte[] {9, 8, 7}, 1_005, "order-5"));
        all.put("heartbeat", HeartbeatRequest.of(view(106)));
        all.put("resign", ResignRequest.of(107));
        all.put("acknowledge", AcknowledgeResponse.of(true, 108, member("follower")));
        all.put("join", JoinRequest.of(member("joiner")));
        all.put("join-reply", JoinResponse.of(view(110)));
        all.put("share-instances", ShareInstancesRequest.of(111, instances(), true));
        all.put("poll", poll());
        all.put("poll-reply", pollReply());
        all.put("quota-ask", quotaAsk());
        all.put("quota-grant", quotaGrant());
        all.put("alive", BalancerHeartbeat.of("edge-16"));
        all.put("leave", LeaveRequest.of(member("leaver")));
        all.put("leave-reply", LeaveResponse.of(true, view(118)));
        all.put("tally-batch", tallyBatch());
        all.put("tally-sync", tallySync());
        all.put("tally-sync-reply", TallySyncResponse.of(summary(126), tallyBatch().additions));
        return all;
    }

    /** The messages as their types create them, by the same names. */
    static Map<String, Message> defaults() {
        Map<String, Message> all = new LinkedHashMap<>();
        all.put("stored-state", new StoredState());
        all.put("prepare", new PrepareRequest());
        all.put("promise", new PrepareResponse());
        all.put("install", new InstallStateRequest());
        all.put("accept", new AcceptViewRequest());
        all.put("replicate", new ReplicateRequest());
        all.put("heartbeat", new HeartbeatRequest());
        all.put("resign", new ResignRequest());
        all.put("acknowledge", new AcknowledgeResponse());
        all.put("join", new JoinRequest());
        all.put("join-reply", new JoinResponse());
        all.put("share-instances", new ShareInstancesRequest());
        all.put("poll", new PollRequest());
        all.put("poll-reply", new PollResponse());
        all.put("quota-ask", new QuotaRequest());
        all.put("quota-grant", new QuotaResponse());
        all.put("alive", new BalancerHeartbeat());
        all.put("leave", new LeaveRequest());
        all.put("leave-reply", new LeaveResponse());
        all.put("tally-batch", new TallyBatch());
        all.put("tally-sync", new TallySyncRequest());
        all.put("tally-sync-reply", new TallySyncResponse());
        return all;
    }

    private static TallyBatch tallyBatch() {
        return TallyBatch.of(
                List.of(
                        TallyAddition.of("replica-1", 119, "tally-1", "id-1", 1_019),
                        TallyAddition.of("replica-2", 120, "tally-2", "id-2", 1_020)));
    }

    private static TallySyncRequest tallySync() {
        List<TallyPosition> awaited = List.of(TallyPosition.of("replica-4", 123));
        TallySyncRequest sync =
                TallySyncRequest.push(summary(121), tallyBatch().additions, awaited);
        sync.maxAdditions = 124;
        return sync;
    }

    private static TallyStateSummary summary(long sequence) {
        return TallyStateSummary.of(
                "node:1",
                "zone-1",
                "process-1",
                List.of(TallyPosition.of("replica-3", sequence)),
                List.of(TallyPosition.of("replica-3", sequence - 1)),
                true);
    }

    static Member member(String name) {
        return Member.of(name + ":1", name + ":2", "store-" + name);
    }

    static View view(long epoch) {
        return View.of(
                epoch,
                member("primary"),
                List.of(member("replica-1"), member("replica-2")),
                List.of(member("group-1"), member("group-2"), member("group-3")),
                List.of(member("previous-1")));
    }

    static Snapshot snapshot() {
        return Snapshot.of(new byte[] {1, -2, 3}, 1_003, List.of("order-1", "order-2"));
    }

    /** A record in each stage; the stages' order is what is written. */
    static List<InstanceRecord> instances() {
        return List.of(
                instance("i-ready", Stage.READY, 21),
                instance("i-lost", Stage.LOST, 22),
                instance("i-draining", Stage.DRAINING, 23),
                instance("i-gone", Stage.GONE, 24));
    }

    private static InstanceRecord instance(String id, Stage stage, int ordinal) {
        return InstanceRecord.of(
                        id,
                        "service-" + ordinal,
                        "10.0.0." + ordinal + ":80",
                        "zone-" + ordinal,
                        ordinal + 100,
                        "version-" + ordinal,
                        stage,
                        ordinal + 200)
                .withOrdinal(ordinal)
                .withWeightsVersion(ordinal + 300);
    }

    static StoredState storedState() {
        return StoredState.of("store-own", 100, view(99), snapshot()).withInstances(instances());
    }

    private static PrepareResponse promise() {
        return PrepareResponse.of(true, 102, member("voter"), view(98), instances());
    }

    private static LoadReport report() {
        LoadReport report = new LoadReport();
        report.balancer = "edge-1";
        report.processId = 41;
        report.sequence = 42;
        report.loads.add(UpstreamLoad.of(43, 44, 45));
        report.loads.add(UpstreamLoad.of(46, 47, 48));
        report.cachedPrompts.add(CachedPrompt.of(49, 50));
        report.epoch = 51;
        report.promptRevision = 52;
        return report;
    }

    private static FleetLoads loads() {
        FleetLoads loads = new FleetLoads();
        loads.epoch = 61;
        loads.loadsKnown = true;
        loads.loads.add(UpstreamLoad.of(62, 63, 64));
        loads.cachedPrompts.add(CachedPrompt.of(65, 66));
        loads.cachedPrompts.add(CachedPrompt.of(67, 68));
        loads.promptRevision = 69;
        return loads;
    }

    private static PollRequest poll() {
        PollRequest poll = new PollRequest();
        poll.balancer = "edge-2";
        poll.address = "edge-2:1";
        poll.liveBalancers.add("edge-3");
        poll.liveBalancers.add("edge-4");
        poll.balancerListRevision = 71;
        poll.leaving = true;
        poll.epoch = 72;
        poll.generation = 73;
        poll.instanceRevision = 74;
        poll.hasAuthoritativeList = true;
        poll.balancerCount = 75;
        poll.inFlightAtDraining.add(InFlightRequests.of("i-draining", 76));
        poll.immediate = true;
        poll.loadReport = report();
        return poll;
    }

    private static PollResponse pollReply() {
        PollResponse reply = new PollResponse();
        reply.fromPrimary = true;
        reply.primaryAddress = "primary:1";
        reply.controlNodeAddresses.add("core-1:1");
        reply.controlNodeAddresses.add("core-2:1");
        reply.epoch = 81;
        reply.generation = 82;
        reply.document = new byte[] {4, 5, -6};
        reply.instanceRevision = 83;
        reply.fullInstanceList = true;
        reply.authoritative = true;
        reply.instances.addAll(instances());
        reply.balancerListRevision = 84;
        reply.balancerList.add(BalancerAddress.of("edge-5", "edge-5:1"));
        reply.balancerCount = 85;
        reply.fleetLoads = loads();
        return reply;
    }

    private static QuotaRequest quotaAsk() {
        QuotaRequest ask = QuotaRequest.of("tenant-1", 91.5);
        ask.loadReport = report();
        return ask;
    }

    private static QuotaResponse quotaGrant() {
        QuotaResponse grant = QuotaResponse.of(true, 92.25, 93);
        grant.fleetLoads = loads();
        return grant;
    }
}
