package myrtleladder.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.PrepareResponse;
import myrtleladder.protocol.View;

/**
 * The promises, or pre-votes, that a candidate got from other members, with what these reported.
 * This node counts as promising without an entry. Confined to the event loop; used by {@link
 * CandidateState} alone.
 */
final class Promises {
    private final ReplicaContext context;
    private final Map<Member, PrepareResponse> granted = new HashMap<>();

    Promises(ReplicaContext context) {
        this.context = context;
    }

    /** Adds a granted response. */
    void add(PrepareResponse response) {
        granted.put(response.member, response);
    }

    /** Drops all, as pre-votes are before the epoch is prepared. */
    void clear() {
        granted.clear();
    }

    /** Returns the number of other members that promised. */
    int count() {
        return granted.size();
    }

    /** Returns whether another member promised. */
    boolean isFrom(Member member) {
        return granted.containsKey(member);
    }

    /** Returns a view of the other members that promised. */
    Set<Member> otherMembers() {
        return Collections.unmodifiableSet(granted.keySet());
    }

    /** Returns whether this node and those that promised are majorities of a view's groups. */
    boolean isMajorityOf(View view) {
        Set<Member> members = new LinkedHashSet<>(granted.keySet());
        members.add(context.self());
        return view.hasMajority(members);
    }

    /**
     * Returns the last view that this node or a member that promised has accepted, so the last that
     * may have committed changes; null if nobody accepted any.
     */
    View lastAccepted() {
        View last = context.storedState().acceptedView;
        for (PrepareResponse promise : granted.values()) {
            View accepted = promise.acceptedView;
            if (accepted != null && (last == null || accepted.epoch > last.epoch)) {
                last = accepted;
            }
        }
        return last;
    }

    /** Returns the upstreams that the promising members and this node know, the latest of each. */
    List<InstanceRecord> inheritedInstances() {
        Map<String, InstanceRecord> latest = new LinkedHashMap<>();
        for (PrepareResponse promise : granted.values()) {
            promise.instances.forEach(r -> latest.merge(r.id, r, InstanceRecord::latest));
        }
        context.instances().get().forEach(r -> latest.merge(r.id, r, InstanceRecord::latest));
        return new ArrayList<>(latest.values());
    }
}
