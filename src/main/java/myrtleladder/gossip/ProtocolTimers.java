package myrtleladder.gossip;

import java.util.HashMap;
import java.util.Map;

/**
 * Schedules the timers of the protocol and notices when they fire late, which means that this
 * process was not scheduled for a while. Times are in microseconds.
 */
final class ProtocolTimers {
    /** Token of the timer that ends each protocol period. */
    static final String PERIOD = "period";

    /** Prefix, before a sequence number, of the timeout of a direct probe. */
    static final String ACK_TIMEOUT = "ack:";

    /** Prefix, before a sequence number, of the timeout of a probe for another member. */
    static final String RELAY_TIMEOUT = "relay:";

    /** Prefix, before a member's name, of the timeout of a suspicion. */
    static final String SUSPICION_TIMEOUT = "suspect:";

    private final Membership.Output output;
    private final long stallThresholdUs;
    private final Map<String, Long> deadlinesUs = new HashMap<>();
    private long stalledAtUs = Long.MIN_VALUE;

    /**
     * Timers of one member.
     *
     * @param stallThresholdUs a timer that is later than this means a stall
     */
    ProtocolTimers(Membership.Output output, long stallThresholdUs) {
        this.output = output;
        this.stallThresholdUs = stallThresholdUs;
    }

    /** Schedules a timer; one with the same token fires as well, but only this one counts. */
    void schedule(long nowUs, String token, long delayUs) {
        deadlinesUs.put(token, nowUs + delayUs);
        output.scheduleTimer(token, delayUs);
    }

    /**
     * Notes that a timer has fired.
     *
     * @return how long this process was stalled, 0 if it was not; a stall is returned once,
     *     although all timers that were due meanwhile are late
     */
    long fired(long nowUs, String token) {
        Long deadlineUs = deadlinesUs.remove(token);
        if (deadlineUs == null
                || nowUs - deadlineUs <= stallThresholdUs
                || deadlineUs < stalledAtUs) {
            return 0;
        }
        stalledAtUs = nowUs;
        return nowUs - deadlineUs;
    }
}
