package myrtleladder.controlplane.model;

import java.util.List;
import myrtleladder.configuration.Compression;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.protocol.UpstreamLoad;

/** A balancer as the control plane sees it: it polls, and never goes back. */
final class ModelBalancer {
    private static final long TIMEOUT = 750;
    private static final long PAUSE = 50;
    private static final int UPSTREAM = 7;
    private static final int REQUESTS = 5;

    private final ControlModel model;
    private final String name;
    private String target = "";
    private long epoch;
    private long generation;
    private long revision;
    private boolean complete;
    private long newestAtAsk;
    private long reports;
    private long fleetEpoch;
    private long promptRevision;

    ModelBalancer(ControlModel model, String name) {
        this.model = model;
        this.name = name;
    }

    /** The generation in force here. */
    long generation() {
        return generation;
    }

    void poll() {
        List<ModelNode> nodes = model.listedNodes();
        if (target.isEmpty()) {
            target = nodes.get(model.random.nextInt(nodes.size())).address;
        }
        PollRequest poll = new PollRequest();
        poll.balancer = name;
        poll.address = name + ":1";
        poll.epoch = epoch;
        poll.generation = generation;
        poll.instanceRevision = revision;
        poll.hasAuthoritativeList = complete;
        poll.loadReport = report();
        long sentAt = model.clock.now();
        newestAtAsk = model.history.newest();
        ModelNode.OneAnswer once = new ModelNode.OneAnswer(reply -> answered(sentAt, reply));
        model.clock.schedule(TIMEOUT, () -> once.accept(null));
        byte[] bytes = MessageCodec.encode(poll);
        String to = target;
        model.network.carry(name, to, () -> model.arrive(to, bytes, name, once::accept));
    }

    private void answered(long sentAt, Message message) {
        if (!(message instanceof PollResponse reply)) {
            target = "";
        } else if (!reply.fromPrimary || reply.epoch < epoch) {
            target = reply.primaryAddress.equals(target) ? "" : reply.primaryAddress;
        } else {
            take(reply, sentAt);
            poll();
            return;
        }
        model.clock.schedule(PAUSE, this::poll);
    }

    /** Each balancer has as much under way as the others, so sums that double show. */
    private LoadReport report() {
        LoadReport report = new LoadReport();
        report.balancer = name;
        report.processId = 1;
        report.sequence = ++reports;
        report.epoch = fleetEpoch;
        report.promptRevision = promptRevision;
        report.loads.add(UpstreamLoad.of(UPSTREAM, REQUESTS, 0));
        report.cachedPrompts.add(CachedPrompt.of(name.hashCode(), UPSTREAM));
        return report;
    }

    private void takeLoads(FleetLoads told) {
        fleetEpoch = told.epoch;
        promptRevision = told.promptRevision;
        int most = REQUESTS * (model.balancers.size() - 1);
        for (UpstreamLoad load : told.loads) {
            if (load.upstreamKey != UPSTREAM || load.inFlightRequests > most) {
                model.history.fault(
                        name + " is told " + load.inFlightRequests + " requests of " + most);
            }
        }
        if (told.cachedPrompts.size() > model.balancers.size()) {
            model.history.fault(name + " is told of " + told.cachedPrompts.size() + " prompts");
        }
    }

    private void take(PollResponse reply, long sentAt) {
        if (reply.fleetLoads != null) {
            takeLoads(reply.fleetLoads);
        }
        complete = reply.authoritative || complete && reply.epoch == epoch;
        epoch = reply.epoch;
        revision = reply.instanceRevision;
        if (reply.generation > generation && reply.document.length > 0) {
            byte[] document = Compression.inflate(reply.document);
            model.history.shown(ModelOrder.nameIn(document), reply.generation, name);
            generation = reply.generation;
        }
        if (sentAt > model.history.lastAcknowledgedAt() + ControlModel.STALE_POLL_MS) {
            model.history.notOlder(generation, newestAtAsk, "poll of " + name);
        }
        for (InstanceRecord record : reply.instances) {
            if (record.stage == Stage.READY) {
                model.history.shownReady(record.id, sentAt, ControlModel.STALE_POLL_MS, name);
            }
        }
    }
}
