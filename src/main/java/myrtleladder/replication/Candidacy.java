package myrtleladder.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.protocol.AcceptViewRequest;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.InstallStateRequest;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.PrepareRequest;
import myrtleladder.protocol.PrepareResponse;
import myrtleladder.protocol.View;

/**
 * One attempt to install a view: promises of a majority, the state at all its replicas, then the
 * view at a majority of the group before and of the group after it.
 */
final class Candidacy {
    private enum Step {
        TRIAL,
        SAVING,
        PREPARING,
        INSTALLING,
        ACCEPTING,
        ENDED
    }

    private final Replica replica;
    private final GroupPlan plan;
    private final boolean baseChosen;
    private final boolean withTrial;
    private final long begunAt;
    private final Map<Member, PrepareResponse> promises = new HashMap<>();
    private final Set<String> asked = new HashSet<>();
    private final Set<Member> accepted = new LinkedHashSet<>();
    private final Set<Member> installed = new LinkedHashSet<>();
    private Step step = Step.TRIAL;
    private long epoch;
    private long enoughSince;
    private long askedAt;
    private boolean baseMoved;
    private View base;
    private View view;

    /**
     * {@code baseChosen} says that the view to start from is known to hold, so that its group may
     * change.
     */
    Candidacy(Replica replica, GroupPlan plan, boolean baseChosen, boolean withTrial) {
        this.replica = replica;
        this.baseChosen = baseChosen;
        this.plan = plan;
        this.withTrial = withTrial;
        this.begunAt = replica.scheduler().now();
        View accepted = replica.stored().acceptedView;
        this.base = accepted == null ? replica.view() : accepted;
        this.epoch = replica.highestEpoch() + 1;
    }

    void begin() {
        if (withTrial) {
            become(Step.TRIAL);
            askAll();
            evaluateTrial();
        } else {
            prepare();
        }
    }

    void end() {
        become(Step.ENDED);
    }

    private void become(Step next) {
        step = next;
    }

    void tick(long now) {
        if (step == Step.TRIAL && now - askedAt >= ReplicaTimes.TRIAL_AGAIN) {
            asked.clear(); // who heard a primary a moment ago may not any more
        }
        if (step == Step.TRIAL || step == Step.PREPARING) {
            askAll();
            evaluatePromises();
        }
        if (step != Step.ENDED && now - begunAt > ReplicaTimes.CANDIDACY) {
            replica.lost("the attempt took too long at " + step, true);
        }
    }

    private void askAll() {
        if (asked.isEmpty()) {
            askedAt = replica.scheduler().now();
        }
        ask(base.group);
        ask(base.previousGroup);
        if (step == Step.PREPARING) {
            ask(plan.next());
        }
    }

    private void ask(List<Member> members) {
        boolean trial = step == Step.TRIAL;
        long asking = epoch;
        long sentAt = replica.scheduler().now();
        for (Member member : members) {
            if (member.address.equals(replica.self().address) || !asked.add(member.address)) {
                continue;
            }
            replica.peers()
                    .call(
                            member.address,
                            PrepareRequest.of(asking, replica.self(), trial),
                            ReplicaTimes.CALL,
                            answer -> {
                                if (answer instanceof PrepareResponse promise
                                        && promise.member != null) {
                                    promised(promise, trial, sentAt);
                                } else if (asking == epoch) {
                                    asked.remove(member.address);
                                }
                            });
        }
    }

    private void promised(PrepareResponse promise, boolean trial, long sentAt) {
        if (step != (trial ? Step.TRIAL : Step.PREPARING)) {
            return;
        }
        replica.saw(promise.promisedEpoch);
        if (promise.acceptedView != null) {
            replica.know(promise.acceptedView);
        }
        if (promise.granted) {
            promises.put(promise.member, promise);
            if (!trial) {
                replica.answered(promise.member, sentAt);
            }
        } else if (promise.promisedEpoch >= epoch) {
            // Another epoch is ahead: the next attempt begins above it.
            replica.lost("epoch " + promise.promisedEpoch + " is ahead", true);
            return;
        }
        if (trial) {
            evaluateTrial();
        } else {
            evaluatePromises();
        }
    }

    private Set<Member> granted() {
        Set<Member> members = new LinkedHashSet<>(promises.keySet());
        members.add(replica.self());
        return members;
    }

    private void evaluateTrial() {
        if (step == Step.TRIAL && base.hasMajority(granted())) {
            prepare();
        }
    }

    private void prepare() {
        become(Step.SAVING);
        promises.clear();
        asked.clear();
        epoch = Math.max(epoch, replica.highestEpoch() + 1);
        replica.saveState(
                replica.stored().withPromisedEpoch(epoch),
                ok -> {
                    if (!ok || step != Step.SAVING) {
                        return;
                    }
                    become(Step.PREPARING);
                    askAll();
                    evaluatePromises();
                });
    }

    /** The last view that may have committed changes, as far as those who promised know. */
    private View lastAccepted() {
        View last = replica.stored().acceptedView;
        for (PrepareResponse promise : promises.values()) {
            if (promise.acceptedView != null
                    && (last == null || promise.acceptedView.epoch > last.epoch)) {
                last = promise.acceptedView;
            }
        }
        return last;
    }

    private void evaluatePromises() {
        if (step != Step.PREPARING) {
            return;
        }
        View last = lastAccepted();
        if (last == null) {
            return;
        }
        if (!last.replicas.contains(replica.self())) {
            replica.notEligible(last);
            return;
        }
        if (last.epoch > base.epoch) {
            base = last;
            baseMoved = true;
            askAll();
        }
        if (!base.hasMajority(granted()) || !last.hasMajority(granted())) {
            return;
        }
        long now = replica.scheduler().now();
        enoughSince = enoughSince == 0 ? now : enoughSince;
        if (promises.size() >= asked.size() || now - enoughSince >= ReplicaTimes.GATHER) {
            choose();
        }
    }

    private void choose() {
        List<Member> group = mayChangeGroup() ? plan.next(promises::containsKey) : base.group;
        List<Member> previous = mayChangeGroup() ? base.group : base.previousGroup;
        List<Member> candidates = new ArrayList<>();
        for (Member member : base.replicas) {
            addIfFit(candidates, member, group, false);
        }
        for (Member member : group) {
            addIfFit(candidates, member, group, false);
        }
        for (Member member : group) {
            addIfFit(candidates, member, group, true);
        }
        int copies = Math.min(replica.options().copies(), group.size());
        if (candidates.size() < copies - 1) {
            return; // more may promise until the attempt ends
        }
        List<Member> replicas = new ArrayList<>();
        replicas.add(replica.self());
        replicas.addAll(candidates.subList(0, copies - 1));
        view = View.of(epoch, replica.self(), replicas, group, previous);
        install();
    }

    private void addIfFit(
            List<Member> candidates, Member member, List<Member> group, boolean evenAvoided) {
        boolean fit =
                promises.containsKey(member)
                        && group.contains(member)
                        && (evenAvoided || !replica.avoided(member));
        if (fit && !member.equals(replica.self()) && !candidates.contains(member)) {
            candidates.add(member);
        }
    }

    /**
     * A group changes only from a view that is known to hold: else two of them might follow one.
     */
    private boolean mayChangeGroup() {
        return baseChosen && !baseMoved;
    }

    private void install() {
        become(Step.INSTALLING);
        for (Member joiner : plan.joining()) {
            if (!promises.containsKey(joiner)) {
                replica.absent(joiner);
            }
        }
        installed.add(replica.self());
        for (Member member : view.replicas) {
            if (member.equals(replica.self())) {
                continue;
            }
            replica.peers()
                    .call(
                            member.address,
                            InstallStateRequest.of(epoch, replica.stored().snapshot, inherited()),
                            ReplicaTimes.DISK_PATIENCE,
                            answer -> {
                                if (step != Step.INSTALLING) {
                                    return;
                                }
                                if (answer instanceof AcknowledgeResponse reply
                                        && reply.accepted
                                        && member.equals(reply.member)) {
                                    installed.add(member);
                                    acceptIfInstalled();
                                } else {
                                    replica.avoidNow(member);
                                    replica.lost(member + " does not take the state", true);
                                }
                            });
        }
        acceptIfInstalled();
    }

    private void acceptIfInstalled() {
        if (installed.size() < view.replicas.size()) {
            return;
        }
        become(Step.ACCEPTING);
        replica.saveState(
                replica.stored().withAcceptedView(view),
                ok -> {
                    if (ok && step == Step.ACCEPTING) {
                        accepted.add(replica.self());
                        winIfAccepted();
                    }
                });
        Set<Member> all = new LinkedHashSet<>(view.group);
        all.addAll(view.previousGroup);
        long sentAt = replica.scheduler().now();
        for (Member member : all) {
            if (!member.equals(replica.self())) {
                replica.peers()
                        .call(
                                member.address,
                                AcceptViewRequest.of(view),
                                ReplicaTimes.CALL,
                                answer -> {
                                    if (answer instanceof AcknowledgeResponse reply
                                            && reply.accepted
                                            && reply.member != null) {
                                        accepted.add(reply.member);
                                        replica.answered(reply.member, sentAt);
                                        winIfAccepted();
                                    }
                                });
            }
        }
    }

    private void winIfAccepted() {
        boolean whole = accepted.contains(replica.self()) && accepted.containsAll(view.replicas);
        if (step == Step.ACCEPTING && whole && view.hasMajority(accepted)) {
            become(Step.ENDED);
            replica.won(view, inherited());
        }
    }

    private List<InstanceRecord> inherited() {
        Map<String, InstanceRecord> latest = new LinkedHashMap<>();
        for (PrepareResponse promise : promises.values()) {
            promise.instances.forEach(r -> latest.merge(r.id, r, InstanceRecord::latest));
        }
        replica.instances().forEach(r -> latest.merge(r.id, r, InstanceRecord::latest));
        return new ArrayList<>(latest.values());
    }
}
