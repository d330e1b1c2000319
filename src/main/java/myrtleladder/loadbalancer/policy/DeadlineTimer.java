package myrtleladder.loadbalancer.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Returns requests shortly before their deadlines, and sets a timer for the next one. The periodic
 * sweep alone is too coarse: answers would come up to a sweep less the margin after the deadline,
 * which exceeds the permitted slack if ticks are short.
 */
final class DeadlineTimer {
    /** Token of the timer for the next deadline. */
    static final String TIMER = "due";

    private final long marginUs;
    private final LoadBalancer.Actions actions;
    private final PriorityQueue<RequestState> byDeadline =
            new PriorityQueue<>(
                    Comparator.<RequestState>comparingLong(request -> request.deadlineUs)
                            .thenComparingLong(request -> request.sequence));
    private long timerAtUs = Long.MAX_VALUE;

    /** Creates a timer that returns requests {@code marginUs} before their deadlines. */
    DeadlineTimer(long marginUs, LoadBalancer.Actions actions) {
        this.marginUs = marginUs;
        this.actions = actions;
    }

    void add(RequestState request) {
        byDeadline.add(request);
    }

    /** Records that the timer has expired. */
    void recordTimerExpiry(long nowUs) {
        timerAtUs = nowUs >= timerAtUs ? Long.MAX_VALUE : timerAtUs;
    }

    /** Whether a request is so close to its deadline that it needs its final answer. */
    boolean isDue(RequestState request, long nowUs) {
        return nowUs >= request.deadlineUs - marginUs;
    }

    /**
     * Removes and returns a due request that is neither ended nor streaming. If there is none, sets
     * the timer for the next request and returns null.
     */
    RequestState pollDue(long nowUs) {
        while (!byDeadline.isEmpty()) {
            RequestState request = byDeadline.peek();
            long dueAtUs = request.deadlineUs - marginUs;
            if (!request.isEnded && dueAtUs > nowUs) {
                setTimer(dueAtUs, nowUs);
                return null;
            }
            byDeadline.poll();
            if (!request.isEnded && !request.isStreaming) {
                return request;
            }
        }
        return null;
    }

    private void setTimer(long atUs, long nowUs) {
        if (atUs < timerAtUs) {
            timerAtUs = atUs;
            actions.setTimer(TIMER, atUs - nowUs);
        }
    }
}
