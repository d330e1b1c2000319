package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.ShareInstancesRequest;
import myrtleladder.replication.PeerTransport;
import myrtleladder.scheduler.Scheduler;

/**
 * Keeps records of upstream instances for members that did not take them, and hands them over once
 * the member answers (hinted handoff, as in Dynamo). So each node has all departures before it
 * could become primary.
 *
 * <p>Invariant: while there are hints, an attempt is scheduled. Confined to the event loop.
 */
final class HintedHandoff {
    /** How long a member has to answer. */
    private static final long REQUEST_TIMEOUT_MS = 500;

    /** The time between two attempts. */
    private static final long RETRY_INTERVAL_MS = 400;

    /** The most hints for a member; further instances are dropped. Bounds the memory. */
    private static final int MAX_HINTS_PER_MEMBER = 2_000;

    private final Scheduler scheduler;
    private final PeerTransport peers;
    private final Map<Member, Map<String, InstanceRecord>> hints = new LinkedHashMap<>();
    private long epoch;
    private boolean isScheduled;

    HintedHandoff(Scheduler scheduler, PeerTransport peers) {
        this.scheduler = scheduler;
        this.peers = peers;
    }

    /** Keeps a record for a member; of several for an instance the latest. */
    void addHint(Member member, InstanceRecord record, long epochOfRecord) {
        epoch = Math.max(epoch, epochOfRecord);
        Map<String, InstanceRecord> ofMember =
                hints.computeIfAbsent(member, key -> new LinkedHashMap<>());
        if (ofMember.size() < MAX_HINTS_PER_MEMBER || ofMember.containsKey(record.id)) {
            ofMember.merge(record.id, record, InstanceRecord::latest);
        }
        scheduleAttempt();
    }

    /** Drops the hints for all but these members: a new view has others. */
    void retainMembers(Collection<Member> members) {
        hints.keySet().retainAll(members);
    }

    /** Drops all hints: this node is no longer primary. */
    void clear() {
        hints.clear();
    }

    /** The number of records that wait. */
    int hintCount() {
        return hints.values().stream().mapToInt(Map::size).sum();
    }

    private void scheduleAttempt() {
        if (!isScheduled && !hints.isEmpty()) {
            isScheduled = true;
            scheduler.schedule(RETRY_INTERVAL_MS, this::attempt);
        }
    }

    private void attempt() {
        isScheduled = false;
        for (Member member : new ArrayList<>(hints.keySet())) {
            List<InstanceRecord> records = new ArrayList<>(hints.get(member).values());
            peers.call(
                    member.address,
                    ShareInstancesRequest.of(epoch, records, false),
                    REQUEST_TIMEOUT_MS,
                    response -> {
                        if (isAcknowledgedBy(member, response)) {
                            removeHints(member, records);
                        }
                    });
        }
        scheduleAttempt();
    }

    /** A node that lost its disk answers at the same address as another member. */
    private static boolean isAcknowledgedBy(Member member, Message response) {
        return response instanceof AcknowledgeResponse acknowledgement
                && acknowledgement.accepted
                && member.equals(acknowledgement.member);
    }

    /** Removes the records that a member took, unless a later one came meanwhile. */
    private void removeHints(Member member, List<InstanceRecord> records) {
        Map<String, InstanceRecord> ofMember = hints.get(member);
        if (ofMember != null) {
            records.forEach(record -> ofMember.remove(record.id, record));
            hints.values().removeIf(Map::isEmpty);
        }
    }
}
