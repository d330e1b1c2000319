package myrtleladder.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.HeartbeatRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.ReplicateRequest;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.View;
import myrtleladder.scheduler.Scheduler;

/**
 * What a primary does: it asks the members whether its epoch still holds, hands changes to the
 * replicas, and decides when another view is due.
 */
final class Leadership {
    private static final long NOT_LEADING = -1;

    private final Replica replica;
    private final Scheduler scheduler;
    private final MemberContacts contacts = new MemberContacts();
    private final GroupRequests requests = new GroupRequests();
    private final List<Confirmation> confirming = new ArrayList<>();
    private long lastHeartbeat;
    private long leadingSince = NOT_LEADING;
    private Pending pending;

    /** Somebody who waits for the word of a majority. */
    private static final class Confirmation {
        final Consumer<Boolean> done;

        Confirmation(Consumer<Boolean> done) {
            this.done = done;
        }
    }

    /** A change on its way to the replicas. */
    private static final class Pending {
        final Consumer<Boolean> done;
        int missing;

        Pending(int missing, Consumer<Boolean> done) {
            this.missing = missing;
            this.done = done;
        }
    }

    Leadership(Replica replica, Scheduler scheduler) {
        this.replica = replica;
        this.scheduler = scheduler;
    }

    // ---- Begin and end
    // -----------------------------------------------------------------------------

    /** A view of this node holds: a change that it carries along is committed by it. */
    void began(View view) {
        contacts.watch(view.group, scheduler.now());
        leadingSince = leadingSince == NOT_LEADING ? scheduler.now() : leadingSince;
        finishPending(true);
    }

    /** This node leads no more: whoever waits is told that nothing is sure. */
    void ended() {
        leadingSince = NOT_LEADING;
        requests.clear();
        contacts.clear(scheduler.now());
        contacts.watch(List.of(), scheduler.now());
        finishPending(false);
        new ArrayList<>(confirming).forEach(c -> confirmed(c, false));
    }

    /** The process stood still, so what was heard before proves nothing. */
    void stoodStill(long now) {
        contacts.clear(now);
        lastHeartbeat = 0;
    }

    /** A member answered a candidate's or primary's question that was sent at the given time. */
    void answered(Member member, long sentAt) {
        contacts.answered(member, sentAt);
    }

    // ---- The group
    // ---------------------------------------------------------------------------------

    /** A node asks to be admitted. */
    void join(Member member) {
        if (!replica.view().group.contains(member)) {
            requests.join(member, scheduler.now());
        }
    }

    /** A node that asked to be admitted did not promise, so it is left out of the change. */
    void absent(Member joiner) {
        requests.absent(joiner);
    }

    /** A member was asked to end; whether it may. */
    boolean leave(Member member) {
        View view = replica.view();
        requests.leave(member, scheduler.now());
        return view.isGroupStable()
                && !view.group.contains(member)
                && !view.replicas.contains(member);
    }

    /** Whether a member is about to end. */
    boolean leaves(Member member) {
        return requests.leaving().contains(member);
    }

    /** The next group as far as it may be chosen now. */
    GroupPlan plan() {
        View view = replica.view();
        if (!view.isGroupStable()) {
            return GroupPlan.unchanged(view.group);
        }
        Set<Member> joining = requests.joining();
        joining.removeIf(view.group::contains);
        return new GroupPlan(
                view.group,
                joining,
                silentMembers(view),
                requests.leaving(),
                replica.options().leastGroup());
    }

    /** The members that have been silent for too long, the longest first. */
    private List<Member> silentMembers(View view) {
        long now = scheduler.now();
        long most = replica.options().memberSilentMs();
        return view.group.stream()
                .filter(m -> !m.equals(replica.self()) && contacts.silence(m, now) > most)
                .sorted(Comparator.comparingLong(m -> -contacts.silence(m, now)))
                .toList();
    }

    /** Does what is due: heartbeats, and another view if this one can't go on. */
    void time(long now) {
        requests.expire(now);
        if (replica.diskStuck()) {
            replica.resign("the disk does not answer");
            return;
        }
        if (replica.leaving() && mayHandOver(now)) {
            replica.resign("asked to end");
            return;
        }
        if (now - lastHeartbeat >= ReplicaTimes.HEARTBEAT) {
            lastHeartbeat = now;
            sendHeartbeats(heard -> {});
        }
        if (!replacesSilentReplica(now) && pending == null) {
            changeView();
        }
    }

    /** Whether another replica stays, as far as those that leave had the time to say so. */
    private boolean mayHandOver(long now) {
        return now - leadingSince >= ReplicaTimes.HAND_OVER_AFTER
                && replica.view().replicas.stream()
                        .anyMatch(m -> !m.equals(replica.self()) && !leaves(m));
    }

    private boolean replacesSilentReplica(long now) {
        for (Member member : replica.view().replicas) {
            boolean silent = contacts.silence(member, now) > ReplicaTimes.REPLICA_SILENT;
            if (!member.equals(replica.self()) && silent) {
                replica.avoidNow(member);
                replica.stand(false, "replica " + member + " is silent");
                return true;
            }
        }
        return false;
    }

    /** Stands for another view if the group or the replicas are to change. */
    private void changeView() {
        if (replica.state() != Replica.State.PRIMARY) {
            return;
        }
        View view = replica.view();
        if (!view.isGroupStable()) {
            replica.stand(false, "the group settles");
        } else if (plan().changes()) {
            replica.stand(false, "the group changes");
        } else if (copyMayMove(view)) {
            replica.stand(false, "a replica is about to end");
        }
    }

    private boolean copyMayMove(View view) {
        long now = scheduler.now();
        Set<Member> leaving = requests.leaving();
        boolean leaves = view.replicas.stream().anyMatch(leaving::contains);
        boolean other =
                view.group.stream()
                        .anyMatch(
                                m ->
                                        !view.replicas.contains(m)
                                                && !leaving.contains(m)
                                                && !replica.avoided(m)
                                                && contacts.silence(m, now)
                                                        <= ReplicaTimes.REPLICA_SILENT);
        return leaves && other;
    }

    // ---- Contact with a majority
    // -------------------------------------------------------------------

    /** Whether a majority answered a question that was sent a short while ago. */
    boolean recentlyConfirmed() {
        Set<Member> heard =
                new HashSet<>(contacts.answeredSince(scheduler.now() - ReplicaTimes.CONFIRMED_FOR));
        heard.add(replica.self());
        return replica.view().hasMajority(heard);
    }

    /** Asks a majority whether this node is still primary; the answer is handed over once. */
    void confirm(Consumer<Boolean> done) {
        View view = replica.view();
        Confirmation confirmation = new Confirmation(done);
        confirming.add(confirmation);
        scheduler.schedule(
                ReplicaTimes.CALL + ReplicaTimes.TICK, () -> confirmed(confirmation, false));
        sendHeartbeats(
                heard -> {
                    if (view.hasMajority(heard)) {
                        confirmed(confirmation, replica.state() == Replica.State.PRIMARY);
                    }
                });
    }

    private void confirmed(Confirmation confirmation, boolean still) {
        if (confirming.remove(confirmation)) {
            confirmation.done.accept(still);
        }
    }

    private void sendHeartbeats(Consumer<Set<Member>> progress) {
        Set<Member> heard = new LinkedHashSet<>();
        heard.add(replica.self());
        View view = replica.view();
        progress.accept(heard);
        long sentAt = scheduler.now();
        for (Member member : view.group) {
            if (!member.equals(replica.self())) {
                replica.peers()
                        .call(
                                member.address,
                                HeartbeatRequest.of(view),
                                ReplicaTimes.CALL,
                                answer -> heartbeatAnswered(view, sentAt, answer, heard, progress));
            }
        }
    }

    private void heartbeatAnswered(
            View view,
            long sentAt,
            Message answer,
            Set<Member> heard,
            Consumer<Set<Member>> progress) {
        boolean current = replica.state() == Replica.State.PRIMARY && replica.view() == view;
        if (!current || !(answer instanceof AcknowledgeResponse reply) || reply.member == null) {
            return;
        }
        if (reply.promisedEpoch > view.epoch) {
            replica.deposed(reply.promisedEpoch);
        } else if (reply.accepted) {
            contacts.answered(reply.member, sentAt);
            heard.add(reply.member);
        }
        progress.accept(heard);
    }

    // ---- Changes
    // -----------------------------------------------------------------------------------

    /** Whether a change is under way. */
    boolean changing() {
        return pending != null;
    }

    /** Takes a change and hands it to the replicas. */
    void submit(byte[] document, long generation, String order, Consumer<Boolean> done) {
        View view = replica.view();
        Snapshot next = replica.snapshot().withChange(document, generation, order);
        Pending change = new Pending(view.replicas.size(), done);
        pending = change;
        replica.saveState(
                replica.stored().withSnapshot(next), ok -> replicated(change, ok, replica.self()));
        ReplicateRequest message = ReplicateRequest.of(view.epoch, document, generation, order);
        for (Member member : view.replicas) {
            if (!member.equals(replica.self())) {
                hand(change, message, member);
            }
        }
    }

    private void hand(Pending change, ReplicateRequest message, Member member) {
        long sentAt = scheduler.now();
        replica.peers()
                .call(
                        member.address,
                        message,
                        ReplicaTimes.DISK_PATIENCE,
                        answer -> {
                            boolean taken =
                                    answer instanceof AcknowledgeResponse reply
                                            && reply.accepted
                                            && member.equals(reply.member);
                            if (taken) {
                                contacts.answered(member, sentAt);
                            }
                            if (answer instanceof AcknowledgeResponse reply
                                    && reply.promisedEpoch > replica.epoch()) {
                                replica.deposed(reply.promisedEpoch);
                            }
                            replicated(change, taken, member);
                        });
    }

    private void replicated(Pending change, boolean taken, Member member) {
        if (pending != change || replica.state() != Replica.State.PRIMARY) {
            return;
        }
        if (!taken) {
            if (!member.equals(replica.self())) {
                replica.avoidNow(member);
                replica.stand(false, "replica " + member + " does not take a change");
            }
            return;
        }
        change.missing--;
        if (change.missing == 0) {
            pending = null;
            changeView(); // before the next change, which may follow at once
            change.done.accept(true);
        }
    }

    private void finishPending(boolean committed) {
        Pending change = pending;
        pending = null;
        if (change != null) {
            change.done.accept(committed);
        }
    }
}
