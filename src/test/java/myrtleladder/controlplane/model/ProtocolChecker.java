package myrtleladder.controlplane.model;

import java.util.HashMap;
import java.util.Map;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.InstallStateRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PrepareRequest;
import myrtleladder.protocol.PrepareResponse;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.View;

/**
 * Checks the invariants of the replication protocol at each step of each node: promises, accepted
 * views and replaced states. {@link HistoryChecker} checks what callers see, which shows the same
 * errors only after further events.
 */
final class ProtocolChecker {
    private final HistoryChecker history;
    private final Map<Promise, Member> candidateByPromise = new HashMap<>();
    private final Map<Long, View> acceptedViewByEpoch = new HashMap<>();

    /** What a member promises to a single candidate. */
    private record Promise(String storeId, long epoch) {}

    ProtocolChecker(HistoryChecker history) {
        this.history = history;
    }

    /** Checks a request that a node sends: a candidate has promised its epoch to itself. */
    void checkSent(Member sender, Message request) {
        if (request instanceof PrepareRequest prepare && !prepare.preVote) {
            checkPromise(sender, prepare.epoch, sender);
        }
    }

    /** Checks the response of a node to a request of another one. */
    void checkResponse(Message request, Message response) {
        if (request instanceof PrepareRequest prepare
                && response instanceof PrepareResponse promise
                && promise.granted
                && !prepare.preVote) {
            checkPromise(promise.member, prepare.epoch, prepare.candidate);
        } else if (request instanceof InstallStateRequest install
                && response instanceof AcknowledgeResponse acknowledgement
                && acknowledgement.accepted) {
            checkInstalled(acknowledgement.member, install);
        }
    }

    private void checkPromise(Member member, long epoch, Member candidate) {
        Promise promise = new Promise(member.storeId, epoch);
        Member known = candidateByPromise.putIfAbsent(promise, candidate);
        if (known != null && !known.equals(candidate)) {
            history.addViolation(
                    member + " promised epoch " + epoch + " to " + known + " and " + candidate);
        }
    }

    private void checkInstalled(Member member, InstallStateRequest install) {
        Promise promise = new Promise(member.storeId, install.epoch);
        Member holder = candidateByPromise.get(promise);
        if (!install.candidate.equals(holder)) {
            history.addViolation(
                    "%s installed a state of %s in epoch %d, which it promised to %s"
                            .formatted(member, install.candidate, install.epoch, holder));
        }
    }

    /** Checks the counter of conflicts, which operators are told to report unless it is 0. */
    void checkConflicts(String address, long epochConflicts) {
        if (epochConflicts > 0) {
            history.addViolation(address + " counted " + epochConflicts + " epoch conflicts");
        }
    }

    /**
     * Checks a state that a process saves.
     *
     * @param previous the state that it loaded or saved before, null if there is none
     */
    void checkSave(String address, StoredState previous, StoredState next) {
        checkAcceptedView(address, next.acceptedView);
        if (previous == null) {
            return;
        }
        checkEpochs(address, previous, next);
        checkSnapshot(address, previous, next);
    }

    /** Checks that an epoch has one view. The initial view, which has no primary, is exempt. */
    private void checkAcceptedView(String address, View view) {
        if (view == null || view.primary == null) {
            return;
        }
        View known = acceptedViewByEpoch.putIfAbsent(view.epoch, view);
        if (known != null && !known.isSameAs(view)) {
            history.addViolation(address + " accepted " + view + ", another one " + known);
        }
    }

    private void checkEpochs(String address, StoredState previous, StoredState next) {
        if (next.promisedEpoch < previous.promisedEpoch) {
            history.addViolation(
                    "%s lowered its promise from %d to %d"
                            .formatted(address, previous.promisedEpoch, next.promisedEpoch));
        }
        if (epochOf(next.acceptedView) < epochOf(previous.acceptedView)) {
            history.addViolation(
                    "%s accepted %s after %s"
                            .formatted(address, next.acceptedView, previous.acceptedView));
        }
        boolean hasOtherHolder =
                next.promisedEpoch == previous.promisedEpoch
                        && previous.promisedCandidate != null
                        && !previous.promisedCandidate.equals(next.promisedCandidate);
        // An accepted view shows that the former holder never had a majority for its epoch.
        if (hasOtherHolder && epochOf(next.acceptedView) != next.promisedEpoch) {
            history.addViolation(
                    "%s passed its promise of epoch %d from %s to %s"
                            .formatted(
                                    address,
                                    next.promisedEpoch,
                                    previous.promisedCandidate,
                                    next.promisedCandidate));
        }
    }

    private static long epochOf(View view) {
        return view == null ? -1 : view.epoch;
    }

    /** Checks that no acknowledged change is replaced by an older state. */
    private void checkSnapshot(String address, StoredState previous, StoredState next) {
        long generation = previous.snapshot.generation;
        boolean isOlder = next.snapshot.generation < generation;
        if (isOlder && history.isAcknowledged(generation, previous.snapshot.document)) {
            history.addViolation(
                    "%s replaced the acknowledged generation %d by %d"
                            .formatted(address, generation, next.snapshot.generation));
        }
    }
}
