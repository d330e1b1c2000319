package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * A request from its arrival until its final answer is given and no attempt is outstanding. Written
 * by {@link RequestDispatcher}, its place in the queue by {@link RequestQueue}.
 */
final class RequestState {
    final Request request;
    final RequestClass requestClass;

    /** Order of arrival; breaks ties. */
    final long sequence;

    final long arrivedAtUs;

    /** When the client gives up. */
    final long deadlineUs;

    /** When the latency target of its class is missed. */
    long targetAtUs;

    /** In order of sending; an attempt's number is its index. */
    final List<Attempt> attempts = new ArrayList<>(1);

    /**
     * Expected work: the hint, else the typical answer time of the class in microseconds, else 1.
     */
    double cost;

    /** Place in the queue: the greatest is dispatched first. */
    double priority;

    /** Where the request's key is best served; null if nowhere. */
    UpstreamState affinityUpstream;

    /** Whether the final answer was given or is not owed any more. */
    boolean isEnded;

    /** Whether a streamed answer has begun. */
    boolean isStreaming;

    boolean isQueued;

    /** Whether its latency target can no longer be met; its priority was lowered then. */
    boolean isLate;

    RequestState(Request request, RequestClass requestClass, long sequence, long nowUs) {
        this.request = request;
        this.requestClass = requestClass;
        this.sequence = sequence;
        this.arrivedAtUs = nowUs;
        this.deadlineUs = nowUs + request.timeLeftUs();
        long target =
                requestClass.latencyTargetUs()
                        + (long) (requestClass.latencyTargetStretch() * request.expectedWork());
        this.targetAtUs = Math.min(deadlineUs, nowUs + target);
    }

    boolean hasWorkHint() {
        return request.expectedWork() > 0;
    }

    /** The first attempt that may have run, an outstanding one included; null if there is none. */
    Attempt firstThatMayHaveRun() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveRun) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** The attempt sent last; there must be one. */
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

    /** Whether an attempt at that upstream went unanswered for so long that it was hedged. */
    boolean isHedgedAwayFrom(UpstreamState upstream) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).isHedged && attempts.get(i).upstream == upstream) {
                return true;
            }
        }
        return false;
    }
}
