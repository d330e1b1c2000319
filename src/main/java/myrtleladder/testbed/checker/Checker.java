package myrtleladder.testbed.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.testbed.checker.Violation.Kind;

/**
 * Follows each request from its client to the upstreams and back. It is told what both ends saw, in
 * the order of time, and finds what breaks a rule. Times are microseconds of one clock.
 */
public final class Checker {
    /** Repeats that a class of requests allows. */
    public enum Repeat {
        /** Any number of runs. */
        FREE,
        /** Repeats of its key within the memory of the upstreams. */
        KEYED,
        /** One run; a further attempt only after proof that none has run. */
        SINGLE
    }

    private final Rules rules;
    private final Map<String, Incarnation> incarnations = new HashMap<>();
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Set<String> out = new HashSet<>();
    private final List<Violation> violations = new ArrayList<>();

    /** Checks against these figures. */
    public Checker(Rules rules) {
        this.rules = rules;
    }

    private static final class Incarnation {
        final Repeat repeat;
        final long memory;
        final long deadline;
        final List<Long> mayHaveRun = new ArrayList<>();
        final List<String> made = new ArrayList<>();
        boolean taken;
        boolean done;

        Incarnation(Repeat repeat, long memory, long deadline) {
            this.repeat = repeat;
            this.memory = memory;
            this.deadline = deadline;
        }
    }

    private static final class Upstream {
        final long startedAt;
        final SlowStartWindow pushed;
        final Map<String, Long> notifiedOfDrain = new HashMap<>();
        boolean overrun;

        Upstream(long startedAt, SlowStartWindow pushed) {
            this.startedAt = startedAt;
            this.pushed = pushed;
        }
    }

    // ---- What clients see
    // ------------------------------------------------------------------------------

    /**
     * A client has begun to send; {@code memory} is how long upstreams drop a repeat of a keyed
     * one.
     */
    public void sent(String id, Repeat repeat, long memory, long deadline) {
        incarnations.put(id, new Incarnation(repeat, memory, deadline));
    }

    /** Its last byte is written to a connection that the balancer's machine accepted. */
    public void taken(String id) {
        incarnations.get(id).taken = true;
    }

    /** The whole of an answer has come; {@code made} is its body, or null if it was not a 200. */
    public void answered(long now, String id, String made) {
        Incarnation incarnation = incarnations.get(id);
        if (incarnation.done) {
            broken(Kind.DOUBLE, now, id, "answered a second time");
            return;
        }
        incarnation.done = true;
        if (made != null && !incarnation.made.contains(made)) {
            broken(Kind.SPOILT, now, id, "served with what no upstream made for it");
        }
        if (now > incarnation.deadline + rules.answerSlack()) {
            broken(
                    Kind.LOST,
                    now,
                    id,
                    "answered " + (now - incarnation.deadline) / 1_000 + " ms after its time");
        }
    }

    /**
     * The balancer ended the connection with no whole answer. {@code excused} where that is no
     * loss: an answer that was begun and could not be finished, or an idle connection that closed
     * as the request came.
     */
    public void partitioned(long now, String id, boolean excused) {
        Incarnation incarnation = incarnations.get(id);
        if (!incarnation.done && incarnation.taken && !excused) {
            broken(Kind.LOST, now, id, "its connection was ended with no answer");
        }
        incarnation.done = true;
    }

    /**
     * The client has left by itself, or the balancer's process was killed: nothing is owed any
     * more.
     */
    public void left(String id) {
        incarnations.get(id).done = true;
    }

    // ---- What upstreams see
    // ----------------------------------------------------------------------------

    /**
     * An upstream has started; {@code capacity} is the work that it can do in a microsecond, when
     * warm.
     */
    public void started(long now, String upstream, double capacity) {
        upstreams.put(upstream, new Upstream(now, new SlowStartWindow(rules, capacity, now)));
    }

    /** Discovery has told a balancer that an upstream drains or is gone; the first time counts. */
    public void notifiedOfDrain(long now, String balancer, String upstream) {
        upstreams.get(upstream).notifiedOfDrain.putIfAbsent(balancer, now);
    }

    /** Work on an upstream's machine begins, or has ended. */
    public void out(String upstream, boolean begins) {
        if (begins) {
            out.add(upstream);
        } else {
            out.remove(upstream);
        }
    }

    /** The first byte of an attempt has come to an upstream. */
    public void attempt(long now, String balancer, String upstream, String id, double work) {
        Upstream up = upstreams.get(upstream);
        Long notified = up.notifiedOfDrain.get(balancer);
        if (notified != null && now > notified + rules.drainGrace()) {
            broken(
                    Kind.AFTER_DRAIN,
                    now,
                    id,
                    "sent by "
                            + balancer
                            + " to "
                            + upstream
                            + " "
                            + (now - notified) / 1_000
                            + " ms after it was told");
        }
        if (out.contains(upstream)) {
            broken(
                    Kind.OUT,
                    now,
                    id,
                    "sent by " + balancer + " to " + upstream + ", on which work goes on");
        }
        Incarnation incarnation = incarnations.get(id);
        if (incarnation == null) {
            broken(Kind.FOREIGN, now, id, "came to " + upstream + ", but no client sent it");
            return;
        }
        checkRepeat(now, upstream, id, incarnation);
        incarnation.mayHaveRun.add(now);
        checkSlowStart(now, upstream, up, work);
    }

    private void checkRepeat(long now, String upstream, String id, Incarnation incarnation) {
        if (incarnation.mayHaveRun.isEmpty() || incarnation.repeat == Repeat.FREE) {
            return;
        }
        long since = now - incarnation.mayHaveRun.get(0);
        if (incarnation.repeat == Repeat.SINGLE) {
            broken(Kind.DOUBLE, now, id, "sent again to " + upstream + " though it may have run");
        } else if (since > incarnation.memory) {
            broken(
                    Kind.DOUBLE,
                    now,
                    id,
                    "sent again to "
                            + upstream
                            + " "
                            + since / 1_000
                            + " ms after the first time, beyond the memory of its key");
        }
    }

    private void checkSlowStart(long now, String upstream, Upstream up, double work) {
        double part = up.pushed.add(now, work);
        if (part > 1 && !up.overrun) {
            up.overrun = true;
            broken(
                    Kind.COLD_OVERRUN,
                    now,
                    upstream,
                    "got "
                            + Math.round(100 * part)
                            + "% of what it can bear "
                            + (now - up.startedAt) / 1_000
                            + " ms after its start");
        }
    }

    /** An upstream has proved that an attempt never ran: it turned it away unseen. */
    public void neverRan(String id, long attemptAt) {
        Incarnation incarnation = incarnations.get(id);
        if (incarnation != null) {
            incarnation.mayHaveRun.remove(attemptAt);
        }
    }

    /** An upstream has made this body for a request. */
    public void made(String id, String body) {
        Incarnation incarnation = incarnations.get(id);
        if (incarnation != null) {
            incarnation.made.add(body);
        }
    }

    // ---- The end
    // ---------------------------------------------------------------------------------------

    /** Finds all that has been owed for too long. */
    public void expire(long now) {
        incarnations.keySet().forEach(id -> overdue(now, id));
    }

    /** Finds whether this one has been owed for too long. */
    public void overdue(long now, String id) {
        Incarnation incarnation = incarnations.get(id);
        if (incarnation.taken
                && !incarnation.done
                && now > incarnation.deadline + rules.answerSlack()) {
            incarnation.done = true;
            broken(
                    Kind.LOST,
                    now,
                    id,
                    "no answer by " + (now - incarnation.deadline) / 1_000 + " ms after its time");
        }
    }

    /** All that was found so far, in the order of finding. */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }

    private void broken(Kind kind, long now, String id, String text) {
        violations.add(new Violation(kind, now, id, text));
    }
}
