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
 * Stores records of upstream instances for members that did not acknowledge them, and retries until
 * they do (hinted handoff, as in Dynamo). Thus each node has all departures before it can become
 * primary.
 *
 * <p>Invariant: while there are hints, a retry is scheduled. Confined to the event loop.
 */
final class HintedHandoff {
    /** Timeout of a request to a member. */
    private static final long REQUEST_TIMEOUT_MS = 500;

    /** Time between two attempts to send the hints. */
    private static final long RETRY_INTERVAL_MS = 400;

    /**
     * Maximum number of hints for a member; records of further instances are dropped. Bounds the
     * memory.
     */
    private static final int MAX_HINTS_PER_MEMBER = 2_000;

    private final Scheduler scheduler;
    private final PeerTransport peers;
    private final Map<Member, Map<String, InstanceRecord>> hintsByMember = new LinkedHashMap<>();
    private long epoch;
    private boolean isScheduled;

    HintedHandoff(Scheduler scheduler, PeerTransport peers) {
        this.scheduler = scheduler;
        this.peers = peers;
    }

    /** Adds a hint for a member; keeps only the latest record of each instance. */
    void addHint(Member member, InstanceRecord record, long epochOfRecord) {
        epoch = Math.max(epoch, epochOfRecord);
        Map<String, InstanceRecord> memberHints =
                hintsByMember.computeIfAbsent(member, key -> new LinkedHashMap<>());
        if (memberHints.size() < MAX_HINTS_PER_MEMBER || memberHints.containsKey(record.id)) {
            memberHints.merge(record.id, record, InstanceRecord::latest);
        }
        scheduleRetry();
    }

    /** Drops the hints for all other members, when a new view has a different group. */
    void retainMembers(Collection<Member> members) {
        hintsByMember.keySet().retainAll(members);
    }

    /** Drops all hints, when this node is no longer primary. */
    void clear() {
        hintsByMember.clear();
    }

    /** Returns the number of stored hints, over all members. */
    int hintCount() {
        return hintsByMember.values().stream().mapToInt(Map::size).sum();
    }

    private void scheduleRetry() {
        if (!isScheduled && !hintsByMember.isEmpty()) {
            isScheduled = true;
            scheduler.schedule(RETRY_INTERVAL_MS, this::sendHints);
        }
    }

    private void sendHints() {
        isScheduled = false;
        for (Member member : new ArrayList<>(hintsByMember.keySet())) {
            List<InstanceRecord> records = new ArrayList<>(hintsByMember.get(member).values());
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
        scheduleRetry();
    }

    /**
     * Returns whether the member itself acknowledged the records. A node that lost its disk
     * responds from the same address but as a different member.
     */
    private static boolean isAcknowledgedBy(Member member, Message response) {
        return response instanceof AcknowledgeResponse acknowledgement
                && acknowledgement.accepted
                && member.equals(acknowledgement.member);
    }

    /**
     * Removes the hints that a member acknowledged, except those that a later record has replaced
     * in the meantime.
     */
    private void removeHints(Member member, List<InstanceRecord> records) {
        Map<String, InstanceRecord> memberHints = hintsByMember.get(member);
        if (memberHints != null) {
            records.forEach(record -> memberHints.remove(record.id, record));
            hintsByMember.values().removeIf(Map::isEmpty);
        }
    }
}
