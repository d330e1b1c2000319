package myrtleladder.loadbalancer.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Gives out requests shortly before their deadlines, and sets a timer for the next. On the sweep
 * alone, an answer came up to a sweep less the margin after the deadline, and that is beyond the
 * slack where ticks are short.
 */
final class DeadlineTimer {
    /** The timer of the next deadline. */
    static final String TIMER = "due";

    private final long marginUs;
    private final LoadBalancer.Actions actions;
    private final PriorityQueue<RequestState> byDeadline =
            new PriorityQueue<>(
                    Comparator.<RequestState>comparingLong(request -> request.deadlineUs)
                            .thenComparingLong(request -> request.sequence));
    private long timerAtUs = Long.MAX_VALUE;

    /** Creates a timer that gives out requests {@code marginUs} before their deadlines. */
    DeadlineTimer(long marginUs, LoadBalancer.Actions actions) {
        this.marginUs = marginUs;
        this.actions = actions;
    }

    void add(RequestState request) {
        byDeadline.add(request);
    }

    /** The timer that was set is due. */
    void recordTimer(long nowUs) {
        timerAtUs = nowUs >= timerAtUs ? Long.MAX_VALUE : timerAtUs;
    }

    /** Whether a request is so close to its deadline that it needs its final answer. */
    boolean isDue(RequestState request, long nowUs) {
        return nowUs >= request.deadlineUs - marginUs;
    }

    /**
     * Removes a due request that is neither ended nor streaming; null if there is none, and then
     * the timer is set for the next one.
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
            actions.timer(TIMER, atUs - nowUs);
        }
    }
}
