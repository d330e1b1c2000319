package myrtleladder.loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.loadbalancer.policy.Upstream.State;

/**
 * Checks the four rules that a balancer has to follow, by its events and actions. It shares no code
 * with the decision module. Each violation begins with the number of its rule:
 *
 * <ol>
 *   <li>each request gets one final answer in time, and no attempt after it;
 *   <li>attempts and rejections respect the idempotency of the request, and only hedging may have
 *       two attempts outstanding at once;
 *   <li>nothing is sent to an upstream after its drain grace period;
 *   <li>an upstream in slow start is not loaded beyond its budget.
 * </ol>
 */
final class RuleChecker {
    final List<String> violations = new ArrayList<>();
    private final Settings settings;
    private final double warmWorkPerMicro;
    private final Map<String, Upstream> endpoints = new HashMap<>();
    private final Map<String, Long> closedAtUs = new HashMap<>();
    private final Map<String, RequestHistory> histories = new HashMap<>();
    private final Map<String, Deque<long[]>> slowStartSends = new HashMap<>();

    private record SentAttempt(long atUs, Upstream upstream) {}

    /** A request with its attempts; the three lists have one element for each attempt. */
    private static final class RequestHistory {
        Request request;
        RequestClass requestClass;
        long deadlineUs;
        boolean isEnded;
        final List<SentAttempt> attempts = new ArrayList<>();
        final List<Boolean> isOutstanding = new ArrayList<>();
        final List<Boolean> mayHaveRun = new ArrayList<>();
    }

    /**
     * Creates a checker.
     *
     * @param warmWorkPerMicro maximum work that a warm upstream completes per microsecond
     */
    RuleChecker(Settings settings, double warmWorkPerMicro) {
        this.settings = settings;
        this.warmWorkPerMicro = warmWorkPerMicro;
    }

    /** Records the endpoint list or changes of it, as reported to the balancer. */
    void endpointsReported(long nowUs, EndpointListKind kind, List<Upstream> entries) {
        if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.RESTORED) {
            for (String id : endpoints.keySet()) {
                if (entries.stream().noneMatch(entry -> entry.id().equals(id))) {
                    closedAtUs.putIfAbsent(id, nowUs);
                }
            }
        }
        for (Upstream entry : entries) {
            endpoints.put(entry.id(), entry);
            if (entry.state() == State.READY) {
                closedAtUs.remove(entry.id());
            } else {
                closedAtUs.putIfAbsent(entry.id(), nowUs);
            }
        }
    }

    void requestArrived(long nowUs, Request request) {
        RequestHistory history = new RequestHistory();
        history.request = request;
        history.requestClass = settings.classes().get(request.classIndex());
        history.deadlineUs = nowUs + request.timeLeftUs();
        histories.put(request.id(), history);
    }

    void attemptSent(long nowUs, String id, String upstreamId) {
        RequestHistory history = histories.get(id);
        Upstream upstream = endpoints.get(upstreamId);
        if (history.isEnded) {
            violations.add("1: attempt sent after the final answer " + id);
        }
        if (!settings.limits().hedging() && history.isOutstanding.contains(true)) {
            violations.add("2: two outstanding attempts without hedging " + id);
        }
        int firstIndex = history.mayHaveRun.indexOf(true);
        if (firstIndex >= 0 && history.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            violations.add("2: non-idempotent request sent again " + id);
        }
        if (firstIndex >= 0
                && history.requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
            SentAttempt firstAttempt = history.attempts.get(firstIndex);
            boolean isInScope =
                    history.requestClass.deduplicationScope() == DeduplicationScope.ALL
                            || (history.requestClass.deduplicationScope() == DeduplicationScope.ZONE
                                    && firstAttempt.upstream.zone() == upstream.zone())
                            || (history.requestClass.deduplicationScope() == DeduplicationScope.CELL
                                    && firstAttempt.upstream.cell() == upstream.cell());
            if (!isInScope || nowUs - firstAttempt.atUs > history.requestClass.keyRetentionUs()) {
                violations.add(
                        "2: keyed request repeated outside its deduplication scope or time " + id);
            }
        }
        Long closedSinceUs = closedAtUs.get(upstreamId);
        if (closedSinceUs != null && nowUs - closedSinceUs > settings.rules().drainGraceUs()) {
            violations.add("3: attempt sent to a drained upstream " + upstreamId);
        }
        checkSlowStartBudget(nowUs, upstream, history.request.expectedWork());
        history.attempts.add(new SentAttempt(nowUs, upstream));
        history.isOutstanding.add(true);
        history.mayHaveRun.add(true);
    }

    private void checkSlowStartBudget(long nowUs, Upstream upstream, long work) {
        long ageUs = nowUs - upstream.launchedAtUs();
        if (upstream.launchedAtUs() <= 0 || ageUs >= settings.rules().slowStartDurationUs()) {
            return;
        }
        Deque<long[]> window =
                slowStartSends.computeIfAbsent(upstream.id(), k -> new ArrayDeque<>());
        window.add(new long[] {nowUs, work});
        while (window.peek()[0] < nowUs - settings.rules().overloadWindowUs()) {
            window.poll();
        }
        double initialFraction = settings.rules().initialCapacityFraction();
        double capacityFraction =
                initialFraction
                        + (1 - initialFraction) * ageUs / settings.rules().slowStartDurationUs();
        double budget =
                settings.rules().overloadMultiple()
                        * capacityFraction
                        * warmWorkPerMicro
                        * settings.rules().overloadWindowUs();
        if (window.stream().mapToLong(send -> send[1]).sum() > budget) {
            violations.add("4: cold upstream overloaded " + upstream.id());
        }
    }

    void attemptEnded(AttemptEnd end) {
        RequestHistory history = histories.get(end.requestId());
        history.isOutstanding.set(end.attemptIndex(), false);
        history.mayHaveRun.set(end.attemptIndex(), !end.outcome().neverRan);
        if (end.isConcluded()) {
            history.isEnded = true;
        }
    }

    void requestRejected(long nowUs, String id) {
        RequestHistory history = histories.get(id);
        boolean mayHaveRun = history.mayHaveRun.contains(true);
        if (mayHaveRun
                && (history.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                        || (history.requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                                && history.requestClass.deduplicationScope()
                                        != DeduplicationScope.ALL))) {
            violations.add("2: rejected although it may have run " + id);
        }
        recordFinalAnswer(nowUs, id);
    }

    void requestFailed(long nowUs, String id) {
        recordFinalAnswer(nowUs, id);
    }

    private void recordFinalAnswer(long nowUs, String id) {
        RequestHistory history = histories.get(id);
        if (history.isEnded) {
            violations.add("1: answered twice " + id);
        }
        history.isEnded = true;
        checkDeadline(nowUs, id, history);
    }

    void clientDisconnected(String id) {
        histories.get(id).isEnded = true;
    }

    /** Checks at the end of a test that no request has missed its final answer. */
    void finish(long nowUs) {
        histories.forEach(
                (id, history) -> {
                    if (!history.isEnded) {
                        checkDeadline(nowUs, id, history);
                    }
                });
    }

    private void checkDeadline(long nowUs, String id, RequestHistory history) {
        if (nowUs > history.deadlineUs + settings.rules().answerSlackUs()) {
            violations.add("1: no final answer in time " + id);
        }
    }
}
