package myrtleladder.testbed.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.testbed.checker.Violation.Kind;

/**
 * Follows each request from its client to the upstreams and back, and records each violation of
 * {@link Rules}. The fake clients, upstreams and discovery report what they see, in the order of
 * time; all times are microseconds of one clock.
 *
 * <p>Not thread-safe: all methods are called by one thread, on sockets by the event loop that the
 * fleet and its fakes share. A request or upstream has to be reported by {@link #requestSent} or
 * {@link #upstreamStarted} before other methods name it, except where a method says otherwise.
 */
public final class Checker {
    /** The repeats that a class of requests allows; the names are values of experiment files. */
    public enum Repeat {
        /** Idempotent: it may be processed any number of times. */
        FREE,
        /** It may be repeated while the upstreams remember its key and drop the repeat. */
        KEYED,
        /** It may be sent again only after proof that no earlier attempt was processed. */
        SINGLE
    }

    private final Rules rules;
    private final Map<String, TrackedRequest> requests = new HashMap<>();
    private final Map<String, TrackedUpstream> upstreams = new HashMap<>();
    private final Set<String> upstreamsUnderMaintenance = new HashSet<>();
    private final List<Violation> violations = new ArrayList<>();

    /** A checker of one run, which has seen no request yet. */
    public Checker(Rules rules) {
        this.rules = rules;
    }

    /**
     * A client begins to send a request.
     *
     * @param keyMemoryUs how long upstreams drop a repeat of a {@link Repeat#KEYED} request
     * @param deadlineUs when its final response is due
     */
    public void requestSent(String id, Repeat repeat, long keyMemoryUs, long deadlineUs) {
        requests.put(id, new TrackedRequest(repeat, keyMemoryUs, deadlineUs));
    }

    /**
     * The last byte of the request is written to a connection that the balancer's machine accepted.
     */
    public void requestAccepted(String id) {
        requests.get(id).isAccepted = true;
    }

    /**
     * A client has received a complete response.
     *
     * @param body the body, or null if the status was not 200
     */
    public void responseReceived(long nowUs, String id, String body) {
        TrackedRequest request = requests.get(id);
        if (request.isDone) {
            addViolation(Kind.DOUBLE, nowUs, id, "answered a second time");
            return;
        }
        request.isDone = true;
        if (body != null && !request.producedBodies.contains(body)) {
            addViolation(Kind.SPOILT, nowUs, id, "served with what no upstream made for it");
        }
        if (nowUs > request.deadlineUs + rules.answerSlackUs()) {
            addViolation(
                    Kind.LOST,
                    nowUs,
                    id,
                    "answered " + (nowUs - request.deadlineUs) / 1_000 + " ms after its time");
        }
    }

    /**
     * The balancer closed the connection without a complete response.
     *
     * @param isExcused whether this is no loss: the response was begun and could not be finished,
     *     or an idle connection was closed as the request arrived
     */
    public void connectionClosed(long nowUs, String id, boolean isExcused) {
        TrackedRequest request = requests.get(id);
        if (!request.isDone && request.isAccepted && !isExcused) {
            addViolation(Kind.LOST, nowUs, id, "its connection was ended with no answer");
        }
        request.isDone = true;
    }

    /** The client gave up, or the balancer's process was killed: no response is owed any more. */
    public void requestAbandoned(String id) {
        requests.get(id).isDone = true;
    }

    /**
     * An upstream has started, or started again.
     *
     * @param workPerUs work that it processes in a microsecond at full capacity
     */
    public void upstreamStarted(long nowUs, String upstream, double workPerUs) {
        SlowStartWindow window = new SlowStartWindow(rules, workPerUs, nowUs);
        upstreams.put(upstream, new TrackedUpstream(nowUs, window));
    }

    /**
     * Discovery has reported to a balancer that an upstream is draining or removed; the first
     * report counts.
     */
    public void drainReported(long nowUs, String balancer, String upstream) {
        upstreams.get(upstream).drainReportedAtUs.putIfAbsent(balancer, nowUs);
    }

    /** Maintenance of an upstream's machine begins or has ended. */
    public void setUnderMaintenance(String upstream, boolean isUnderMaintenance) {
        if (isUnderMaintenance) {
            upstreamsUnderMaintenance.add(upstream);
        } else {
            upstreamsUnderMaintenance.remove(upstream);
        }
    }

    /**
     * The first byte of an attempt has arrived at an upstream. The request may be unknown: that is
     * a violation.
     *
     * @param work what it takes to process the attempt, in the unit of {@link #upstreamStarted}
     */
    public void attemptReceived(
            long nowUs, String balancer, String upstream, String id, double work) {
        TrackedUpstream target = upstreams.get(upstream);
        Long reportedAtUs = target.drainReportedAtUs.get(balancer);
        if (reportedAtUs != null && nowUs > reportedAtUs + rules.drainGraceUs()) {
            addViolation(
                    Kind.AFTER_DRAIN,
                    nowUs,
                    id,
                    "sent by "
                            + balancer
                            + " to "
                            + upstream
                            + " "
                            + (nowUs - reportedAtUs) / 1_000
                            + " ms after it was told");
        }
        if (upstreamsUnderMaintenance.contains(upstream)) {
            addViolation(
                    Kind.OUT,
                    nowUs,
                    id,
                    "sent by " + balancer + " to " + upstream + ", on which work goes on");
        }
        TrackedRequest request = requests.get(id);
        if (request == null) {
            addViolation(
                    Kind.FOREIGN, nowUs, id, "came to " + upstream + ", but no client sent it");
            return;
        }
        checkRepeat(nowUs, upstream, id, request);
        request.possiblyProcessedAtUs.add(nowUs);
        checkSlowStart(nowUs, upstream, target, work);
    }

    private void checkRepeat(long nowUs, String upstream, String id, TrackedRequest request) {
        if (request.possiblyProcessedAtUs.isEmpty() || request.repeat == Repeat.FREE) {
            return;
        }
        long sinceFirstUs = nowUs - request.possiblyProcessedAtUs.get(0);
        if (request.repeat == Repeat.SINGLE) {
            addViolation(
                    Kind.DOUBLE,
                    nowUs,
                    id,
                    "sent again to " + upstream + " though it may have run");
        } else if (sinceFirstUs > request.keyMemoryUs) {
            addViolation(
                    Kind.DOUBLE,
                    nowUs,
                    id,
                    "sent again to "
                            + upstream
                            + " "
                            + sinceFirstUs / 1_000
                            + " ms after the first time, beyond the memory of its key");
        }
    }

    private void checkSlowStart(long nowUs, String upstream, TrackedUpstream target, double work) {
        double fractionOfLimit = target.slowStartWindow.add(nowUs, work);
        if (fractionOfLimit > 1 && !target.isOverloadReported) {
            target.isOverloadReported = true;
            addViolation(
                    Kind.COLD_OVERRUN,
                    nowUs,
                    upstream,
                    "got "
                            + Math.round(100 * fractionOfLimit)
                            + "% of what it can bear "
                            + (nowUs - target.startedAtUs) / 1_000
                            + " ms after its start");
        }
    }

    /**
     * An upstream rejected an attempt without processing it. An unknown request is ignored.
     *
     * @param attemptAtUs the time that {@link #attemptReceived} was called with
     */
    public void attemptRejected(String id, long attemptAtUs) {
        TrackedRequest request = requests.get(id);
        if (request != null) {
            request.possiblyProcessedAtUs.remove(attemptAtUs);
        }
    }

    /** An upstream has produced this body for a request. An unknown request is ignored. */
    public void responseProduced(String id, String body) {
        TrackedRequest request = requests.get(id);
        if (request != null) {
            request.producedBodies.add(body);
        }
    }

    /** Records each accepted request as lost whose response is overdue. */
    public void checkAllDeadlines(long nowUs) {
        requests.keySet().forEach(id -> checkDeadline(nowUs, id));
    }

    /** Records this request as lost if it was accepted and its response is overdue. */
    public void checkDeadline(long nowUs, String id) {
        TrackedRequest request = requests.get(id);
        if (request.isAccepted
                && !request.isDone
                && nowUs > request.deadlineUs + rules.answerSlackUs()) {
            request.isDone = true;
            addViolation(
                    Kind.LOST,
                    nowUs,
                    id,
                    "no answer by " + (nowUs - request.deadlineUs) / 1_000 + " ms after its time");
        }
    }

    /** An immutable copy of all violations so far, in the order in which they were found. */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }

    private void addViolation(Kind kind, long nowUs, String id, String text) {
        violations.add(new Violation(kind, nowUs, id, text));
    }
}
