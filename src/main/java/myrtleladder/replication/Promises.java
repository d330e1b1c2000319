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
 * The promises, or pre-votes, that a candidate received from other members, with the state that
 * they reported. This node's own promise is implied and has no entry. Confined to the event loop;
 * used by {@link CandidateState} and {@link ViewInstaller}.
 */
final class Promises {
    private final ReplicaContext context;
    private final Map<Member, PrepareResponse> responseByMember = new HashMap<>();

    Promises(ReplicaContext context) {
        this.context = context;
    }

    /** Adds a granted response. */
    void add(PrepareResponse response) {
        responseByMember.put(response.member, response);
    }

    /** Removes all entries, for example the pre-votes before the epoch is prepared. */
    void clear() {
        responseByMember.clear();
    }

    /** Returns the number of other members that promised. */
    int size() {
        return responseByMember.size();
    }

    /** Returns whether another member promised. */
    boolean includes(Member member) {
        return responseByMember.containsKey(member);
    }

    /** Returns an unmodifiable live view of the other members that promised. */
    Set<Member> otherMembers() {
        return Collections.unmodifiableSet(responseByMember.keySet());
    }

    /**
     * Returns whether this node and the members that promised form majorities of a view's group and
     * previous group.
     */
    boolean isMajorityOf(View view) {
        return view.hasMajority(allMembers());
    }

    /** Returns this node and the other members that promised. */
    Set<Member> allMembers() {
        Set<Member> members = new LinkedHashSet<>(responseByMember.keySet());
        members.add(context.self());
        return members;
    }

    /**
     * Returns the latest view that this node or a member that promised has accepted, which is the
     * latest view that may have committed changes; null if none was accepted.
     */
    View lastAcceptedView() {
        View last = context.storedState().acceptedView;
        for (PrepareResponse promise : responseByMember.values()) {
            View accepted = promise.acceptedView;
            if (accepted != null && (last == null || accepted.epoch > last.epoch)) {
                last = accepted;
            }
        }
        return last;
    }

    /**
     * Merges the upstream records of this node and of the members that promised, with the latest
     * record of each upstream.
     */
    List<InstanceRecord> mergedInstances() {
        Map<String, InstanceRecord> latest = new LinkedHashMap<>();
        for (PrepareResponse promise : responseByMember.values()) {
            promise.instances.forEach(r -> latest.merge(r.id, r, InstanceRecord::latest));
        }
        context.knownInstances().get().forEach(r -> latest.merge(r.id, r, InstanceRecord::latest));
        return new ArrayList<>(latest.values());
    }
}
