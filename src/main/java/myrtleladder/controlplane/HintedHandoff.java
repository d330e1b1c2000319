package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.io.Scheduler;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.ShareInstancesRequest;
import myrtleladder.replication.Peers;

/**
 * Records of upstreams for members that did not take them: they are kept here and handed over once
 * the member answers, so that each node has all departures before it could become primary.
 */
final class HintedHandoff {
    private static final long ANSWER = 500;
    private static final long PAUSE = 400;
    private static final int MOST = 2_000;

    private final Scheduler scheduler;
    private final Peers peers;
    private final Map<Member, Map<String, InstanceRecord>> hints = new LinkedHashMap<>();
    private long epoch;
    private boolean planned;

    HintedHandoff(Scheduler scheduler, Peers peers) {
        this.scheduler = scheduler;
        this.peers = peers;
    }

    /** Keeps a record for a member. */
    void keep(Member member, InstanceRecord record, long ofEpoch) {
        epoch = Math.max(epoch, ofEpoch);
        Map<String, InstanceRecord> kept =
                hints.computeIfAbsent(member, m -> new LinkedHashMap<>());
        if (kept.size() < MOST || kept.containsKey(record.id)) {
            kept.merge(record.id, record, InstanceRecord::latest);
        }
        plan();
    }

    /** Forgets what is kept for others than these members: a new view has other ones. */
    void retain(Collection<Member> members) {
        hints.keySet().retainAll(members);
    }

    /** Forgets all: this node is not primary any more. */
    void clear() {
        hints.clear();
    }

    /** How many records wait. */
    int waiting() {
        return hints.values().stream().mapToInt(Map::size).sum();
    }

    private void plan() {
        if (!planned && !hints.isEmpty()) {
            planned = true;
            scheduler.schedule(PAUSE, this::handOver);
        }
    }

    private void handOver() {
        planned = false;
        for (Member member : new ArrayList<>(hints.keySet())) {
            List<InstanceRecord> records = new ArrayList<>(hints.get(member).values());
            peers.call(
                    member.address,
                    ShareInstancesRequest.of(epoch, records, false),
                    ANSWER,
                    answer -> {
                        if (answer instanceof AcknowledgeResponse reply && reply.accepted) {
                            taken(member, records);
                        }
                    });
        }
        plan();
    }

    private void taken(Member member, List<InstanceRecord> records) {
        Map<String, InstanceRecord> kept = hints.get(member);
        if (kept != null) {
            records.forEach(r -> kept.remove(r.id, r));
            hints.values().removeIf(Map::isEmpty);
        }
    }
}
