package myrtleladder.testbed.checker;

import java.util.ArrayDeque;
import java.util.Deque;

/** What a cold upstream was sent within the window of the rule, against what it can bear. */
public final class SlowStartWindow {
    private final Rules rules;
    private final double capacity;
    private final long startedAt;
    private final Deque<Sent> sent = new ArrayDeque<>();
    private double total;

    private record Sent(long at, double work) {}

    /**
     * For an upstream that starts now and does {@code capacity} of work in a microsecond when warm.
     */
    public SlowStartWindow(Rules rules, double capacity, long now) {
        this.rules = rules;
        this.capacity = capacity;
        this.startedAt = now;
    }

    /** Adds work sent now; returns what part of the bearable it brings the window to, 0 if warm. */
    public double add(long now, double work) {
        sent.add(new Sent(now, work));
        total += work;
        while (sent.peek().at() <= now - rules.fallTime()) {
            total -= sent.poll().work();
        }
        double slowStartFactor = rules.slowStartFactor(now - startedAt);
        return slowStartFactor >= 1
                ? 0
                : total / (rules.fallMultiple() * slowStartFactor * capacity * rules.fallTime());
    }
}
