package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Sends requests to upstreams: first attempts from the queue, retries and hedges. */
final class RequestDispatcher {
    /**
     * Stops going through the queue after this number of requests for which no upstream was found.
     */
    private static final int MAX_MISSES = 3;

    private final OpenRequests openRequests;
    private final RequestQueue queue;
    private final DeadlineTimer deadlineTimer;
    private final KeyAffinity affinity;
    private final UpstreamEligibility eligibility;
    private final WeightedLeastLoadPicker picker;
    private final RetryPolicy retryPolicy;
    private final HedgingPolicy hedging;
    private final AdmissionControl admission;
    private final LoadEstimator loads;
    private final SlowStart slowStart;
    private final PeerLoadExchange peerLoads;
    private final LoadBalancer.Actions actions;

    RequestDispatcher(
            OpenRequests openRequests,
            RequestQueue queue,
            DeadlineTimer deadlineTimer,
            KeyAffinity affinity,
            UpstreamEligibility eligibility,
            WeightedLeastLoadPicker picker,
            RetryPolicy retryPolicy,
            HedgingPolicy hedging,
            AdmissionControl admission,
            LoadEstimator loads,
            SlowStart slowStart,
            PeerLoadExchange peerLoads,
            LoadBalancer.Actions actions) {
        this.openRequests = openRequests;
        this.queue = queue;
        this.deadlineTimer = deadlineTimer;
        this.affinity = affinity;
        this.eligibility = eligibility;
        this.picker = picker;
        this.retryPolicy = retryPolicy;
        this.hedging = hedging;
        this.admission = admission;
        this.loads = loads;
        this.slowStart = slowStart;
        this.peerLoads = peerLoads;
        this.actions = actions;
    }

    /** Sends queued requests as long as upstreams have capacity, those with key affinity first. */
    void dispatchQueued(long nowUs) {
        if (affinity.isEnabled() && queue.size() > 1) {
            dispatchToAffinityUpstreams(nowUs);
        }
        dispatchByPriority(nowUs);
    }

    /**
     * Sends requests to the upstreams of their keys, before any others. Otherwise, with scarce
     * capacity, the first requests of the queue would occupy those upstreams: keys would be served
     * everywhere without a warm cache, and the overload would persist.
     */
    private void dispatchToAffinityUpstreams(long nowUs) {
        boolean isPanic = eligibility.isPanic(nowUs);
        for (RequestState request : queue.snapshot()) {
            UpstreamState upstream = request.affinityUpstream;
            if (upstream != null
                    && !request.isLate
                    && admission.hasCapacity(upstream, request, nowUs)
                    && eligibility.isEligible(upstream, request, nowUs, isPanic)) {
                send(request, upstream, nowUs);
            }
        }
    }

    private void dispatchByPriority(long nowUs) {
        int misses = 0;
        RequestState request = queue.first();
        while (request != null && misses < MAX_MISSES) {
            RequestState next = queue.next(request);
            UpstreamState upstream = picker.pickWithCapacity(request, nowUs);
            if (upstream != null) {
                send(request, upstream, nowUs);
            } else {
                misses++;
            }
            request = next;
        }
    }

    private void send(RequestState request, UpstreamState upstream, long nowUs) {
        queue.remove(request);
        if (upstream.inFlight == 0) {
            upstream.lastProgressAtUs = nowUs;
        }
        Attempt attempt = new Attempt(upstream, nowUs);
        request.attempts.add(attempt);
        upstream.inFlight++;
        attempt.isAtLimit =
                ConcurrencyLimiter.isAtLimit(upstream, loads.otherBalancersLoad(upstream, nowUs));
        upstream.workInFlight += request.cost;
        slowStart.charge(upstream, request);
        actions.send(request.request.id(), upstream.id, 0);
        attempt.loadAtSend = loads.ownLoad(upstream) + loads.otherBalancersLoad(upstream, nowUs);
        peerLoads.report(upstream);
    }

    /**
     * Marks an attempt as no longer outstanding. The caller then records its outcome with {@link
     * OutcomeRecorder}.
     */
    void markEnded(RequestState request, Attempt attempt, Outcome outcome) {
        attempt.isOutstanding = false;
        attempt.mayHaveRun = !outcome.neverRan;
        attempt.upstream.inFlight--;
        attempt.upstream.workInFlight -= request.cost;
    }

    /**
     * Retries a request whose last outstanding attempt has ended without an answer, or gives it a
     * final answer. A request that never ran is queued again. One that may have run is retried at
     * once if that is permitted.
     */
    void retryOrGiveUp(RequestState request, long nowUs) {
        if (deadlineTimer.isDue(request, nowUs)) {
            openRequests.rejectOrFail(request, nowUs);
        } else if (request.firstAttemptThatMayHaveRun() == null) {
            requeueOrGiveUp(request, nowUs);
        } else {
            retryNowOrGiveUp(request, nowUs);
        }
    }

    private void requeueOrGiveUp(RequestState request, long nowUs) {
        if (retryPolicy.hasAttemptsLeft(request)) {
            queue.add(request, nowUs);
        } else {
            openRequests.rejectOrFail(request, nowUs);
        }
    }

    private void retryNowOrGiveUp(RequestState request, long nowUs) {
        UpstreamState upstream = picker.pickForRetry(request, nowUs);
        if (upstream != null) {
            send(request, upstream, nowUs);
        } else {
            openRequests.rejectOrFail(request, nowUs);
        }
    }

    /** Hedges the requests that are due for it, oldest first, as far as the budget allows. */
    void hedge(long nowUs) {
        List<RequestState> due = new ArrayList<>();
        for (RequestState request : openRequests.all()) {
            if (hedging.isDue(request, nowUs)) {
                due.add(request);
            }
        }
        due.sort(Comparator.comparingLong(request -> request.sequence));
        for (RequestState request : due) {
            hedge(request, nowUs);
        }
    }

    /** Setting isHedged on the last attempt before the pick excludes its upstream from the pick. */
    private void hedge(RequestState request, long nowUs) {
        Attempt last = request.lastAttempt();
        last.isHedged = true;
        UpstreamState upstream =
                hedging.hasToken() ? picker.pickWithCapacity(request, nowUs) : null;
        last.isHedged = upstream != null;
        if (upstream != null) {
            hedging.takeToken();
            send(request, upstream, nowUs);
        }
    }

    /**
     * Rejects queued requests that can no longer meet their latency target if a late answer has no
     * value, and lowers the priority of others.
     */
    void shedLate(long nowUs) {
        for (RequestState request : queue.snapshot()) {
            if (admission.isTooLate(request, nowUs)) {
                shedOrDemote(request, nowUs);
            }
        }
    }

    private void shedOrDemote(RequestState request, long nowUs) {
        double lateValueFactor = request.requestClass.lateValueFactor();
        if (lateValueFactor <= 0) {
            openRequests.rejectOrFail(request, nowUs);
        } else if (!request.isLate) {
            queue.demoteLate(request, lateValueFactor, nowUs);
        }
    }
}
