package myrtleladder.testbed.checker;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A sliding window over the work that one upstream received, compared with the most that the rules
 * allow during its slow start.
 *
 * <p>Not thread-safe: used by one thread, with times that do not decrease.
 */
public final class SlowStartWindow {
    private final Rules rules;
    private final double workPerUs;
    private final long startedAtUs;
    private final Deque<ReceivedWork> received = new ArrayDeque<>();
    private double totalWork;

    private record ReceivedWork(long atUs, double work) {}

    /**
     * An empty window of an upstream that starts at {@code startedAtUs}.
     *
     * @param workPerUs work that it processes in a microsecond at full capacity
     */
    public SlowStartWindow(Rules rules, double workPerUs, long startedAtUs) {
        this.rules = rules;
        this.workPerUs = workPerUs;
        this.startedAtUs = startedAtUs;
    }

    /**
     * Adds work that the upstream receives now.
     *
     * @return the work in the window as a fraction of the most allowed, above 1 if the upstream is
     *     overloaded; 0 after the slow start
     */
    public double add(long nowUs, double work) {
        received.add(new ReceivedWork(nowUs, work));
        totalWork += work;
        while (received.peek().atUs() <= nowUs - rules.overloadWindowUs()) {
            totalWork -= received.poll().work();
        }
        double slowStartFactor = rules.slowStartFactor(nowUs - startedAtUs);
        return slowStartFactor >= 1
                ? 0
                : totalWork
                        / (rules.overloadMultiple()
                                * slowStartFactor
                                * workPerUs
                                * rules.overloadWindowUs());
    }
}
