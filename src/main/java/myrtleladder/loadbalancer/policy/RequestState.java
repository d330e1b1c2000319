package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of a request from its arrival until it has its final answer and no attempt is
 * outstanding. {@link RequestDispatcher} writes it; {@link RequestQueue} writes the fields on its
 * position in the queue.
 */
final class RequestState {
    final Request request;
    final RequestClass requestClass;

    /** Order of arrival; breaks ties. */
    final long sequence;

    final long arrivedAtUs;

    /** Time at which the client gives up. */
    final long deadlineUs;

    /** Time until which an answer meets the latency target. */
    long latencyTargetAtUs;

    /** In order of sending. */
    final List<Attempt> attempts = new ArrayList<>(1);

    /**
     * Expected work: the hint if there is one, else the typical answer time of the class in
     * microseconds, or 1 if that is unknown.
     */
    double cost;

    /** The request with the highest priority is dispatched first. */
    double priority;

    /** The upstream of the request's key; null without affinity. */
    UpstreamState affinityUpstream;

    /** Whether the final answer was given or is no longer needed. */
    boolean isEnded;

    /** Whether a streamed answer has begun. */
    boolean isStreaming;

    boolean isQueued;

    /** Whether its priority was lowered because it can no longer meet its latency target. */
    boolean isLate;

    RequestState(Request request, RequestClass requestClass, long sequence, long nowUs) {
        this.request = request;
        this.requestClass = requestClass;
        this.sequence = sequence;
        this.arrivedAtUs = nowUs;
        this.deadlineUs = nowUs + request.timeLeftUs();
        long targetUs =
                requestClass.latencyTargetUs()
                        + (long) (requestClass.latencyTargetUsPerWork() * request.expectedWork());
        this.latencyTargetAtUs = Math.min(deadlineUs, nowUs + targetUs);
    }

    boolean hasWorkHint() {
        return request.expectedWork() > 0;
    }

    /** The first attempt that may have run, which includes outstanding ones; null if none may. */
    Attempt firstAttemptThatMayHaveRun() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveRun) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** The attempt sent last. There must be at least one. */
    Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    int outstandingAttempts() {
        int count = 0;
        for (int i = 0; i < attempts.size(); i++) {
            count += attempts.get(i).isOutstanding ? 1 : 0;
        }
        return count;
    }

    /** Whether an attempt at that upstream got no answer for so long that it was hedged. */
    boolean wasHedgedAt(UpstreamState upstream) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).isHedged && attempts.get(i).upstream == upstream) {
                return true;
            }
        }
        return false;
    }
}
