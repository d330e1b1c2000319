package myrtleladder.loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;

/**
 * A load balancer whose weights follow the utilisation that upstreams report. In each period every
 * upstream is reweighted by the distance of its utilisation from the mean ({@link
 * UtilisationWeights}), and requests are sent in proportion to weight / (load + 1)^bias ({@link
 * WeightedLeastLoadPicker}). All other rules are factors on the weight or filters before the pick,
 * each in its own class. This class creates them, passes events to them and runs the periodic work.
 *
 * <p>Random numbers come from one seeded generator, so that equal events give equal decisions. Not
 * safe for use by several threads at once, see {@link LoadBalancer}.
 */
public final class UtilisationLoadBalancer implements LoadBalancer {
    /** The timer of the periodic work. */
    private static final String SWEEP_TIMER = "sweep";

    /** Mean time between sweeps while requests are queued, microseconds. Jittered. */
    private static final long SWEEP_PERIOD_US = 10_000;

    /**
     * Mean time between sweeps while none is queued, microseconds. Longer, since timers cost CPU in
     * large groups.
     */
    private static final long IDLE_SWEEP_PERIOD_US = 50_000;

    /** Mean reweighting period, microseconds. Jittered, so that balancers do not act together. */
    private static final long REWEIGHTING_PERIOD_US = 250_000;

    /**
     * Probability that a sweep dispatches queued requests where peers report their loads. Reports
     * arrive after a network delay. Without the random choice, all balancers would send to the same
     * freed upstream at once.
     */
    private static final double DISPATCH_PROBABILITY = 0.25;

    /** Timer ticks by which a final answer precedes the deadline, because ticks are coarse. */
    private static final long MARGIN_TICKS = 3;

    /** Minimum tick used to compute that margin, microseconds. */
    private static final long MIN_TICK_US = 1_000;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final LoadVisibility visibility;
    private final RequestStatistics statistics;
    private final OutlierEjection ejection;
    private final SlowStart slowStart;
    private final UpstreamTable upstreams;
    private final RendezvousSubsetting subsetting;
    private final OnDemandProber onDemandProber;
    private final PeriodicProber periodicProber;
    private final PeerLoadExchange peerLoads;
    private final EndpointSubscription subscription;
    private final TenantTokenBuckets tenantTokenBuckets;
    private final DeadlineTimer deadlineTimer;
    private final HedgingPolicy hedging;
    private final RequestQueue queue;
    private final OpenRequests openRequests;
    private final RequestDispatcher dispatcher;
    private final OutcomeRecorder outcomeRecorder;
    private final WeightUpdater weightUpdater;
    private long nextReweightAtUs;
    private long nextSweepAtUs;

    /**
     * Creates an instance.
     *
     * @param seed seed of its random numbers
     * @throws IllegalArgumentException if a setting is out of range; the message names it
     */
    public UtilisationLoadBalancer(Settings settings, long seed, Actions actions) {
        SettingsCheck.check(settings);
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.visibility = LoadVisibility.of(settings);
        long marginUs = MARGIN_TICKS * Math.max(settings.tickUs(), MIN_TICK_US);
        QueueingDelayTarget delayTarget = QueueingDelayTarget.of(settings);
        this.statistics =
                new RequestStatistics(settings.classes().size(), initialRequestDelayUs(settings));
        LoadEstimator loads = new LoadEstimator(statistics, delayTarget);
        this.ejection = new OutlierEjection(statistics, delayTarget);
        this.slowStart = new SlowStart(settings, visibility, statistics, loads, random);
        ConcurrencyLimiter limiter =
                new ConcurrencyLimiter(settings.groupSize(), delayTarget, slowStart);
        this.upstreams = new UpstreamTable(settings, statistics, limiter, slowStart);
        this.subsetting = new RendezvousSubsetting(settings, upstreams, ejection);
        AdmissionControl admission = new AdmissionControl(visibility, loads, limiter, statistics);
        this.onDemandProber =
                new OnDemandProber(
                        settings, visibility, delayTarget, subsetting, admission, actions);
        this.periodicProber =
                new PeriodicProber(settings, visibility, upstreams, statistics, random, actions);
        this.peerLoads =
                new PeerLoadExchange(settings, visibility, upstreams, subsetting, loads, actions);
        this.subscription = new EndpointSubscription(settings.listSubscription(), random, actions);
        this.tenantTokenBuckets = new TenantTokenBuckets(settings.tenants(), settings.groupSize());
        this.deadlineTimer = new DeadlineTimer(marginUs, actions);
        this.hedging = new HedgingPolicy(statistics, delayTarget);
        this.weightUpdater = new WeightUpdater(statistics);
        this.outcomeRecorder =
                new OutcomeRecorder(visibility, statistics, ejection, limiter, onDemandProber);
        ZonePreference zones = new ZonePreference(settings);
        KeyAffinity affinity = new KeyAffinity(settings.keyAffinity(), upstreams, ejection, zones);
        RetryPolicy retryPolicy = new RetryPolicy(settings.limits(), marginUs);
        UpstreamEligibility eligibility =
                new UpstreamEligibility(
                        subsetting, ejection, retryPolicy, onDemandProber, slowStart);
        WeightedLeastLoadPicker picker =
                new WeightedLeastLoadPicker(
                        subsetting, eligibility, admission, slowStart, loads, zones, random);
        this.queue = new RequestQueue(affinity);
        this.openRequests =
                new OpenRequests(settings.limits(), queue, deadlineTimer, statistics, actions);
        this.dispatcher =
                new RequestDispatcher(
                        openRequests,
                        queue,
                        deadlineTimer,
                        affinity,
                        eligibility,
                        picker,
                        retryPolicy,
                        hedging,
                        admission,
                        loads,
                        slowStart,
                        peerLoads,
                        actions);
    }

    /** The delay per request at which the initial queue just meets the tightest latency target. */
    private static double initialRequestDelayUs(Settings settings) {
        return AdmissionControl.REPORTED_TIME_FRACTION
                * QueueingDelayTarget.tightestLatencyTargetUs(settings)
                / ConcurrencyLimiter.INITIAL_TOTAL_LIMIT;
    }

    @Override
    public void start(long nowUs) {
        nextReweightAtUs = nowUs + Jitter.around(random, REWEIGHTING_PERIOD_US);
        periodicProber.start(nowUs);
        sweepAfter(SWEEP_PERIOD_US, nowUs);
        subscription.start();
    }

    @Override
    public void onEndpointList(long nowUs, EndpointListKind kind, List<Upstream> entries) {
        if (kind == EndpointListKind.UNAVAILABLE) {
            subscription.recordFailure(nowUs);
            return;
        }
        subscription.recordSuccess();
        upstreams.update(entries, kind != EndpointListKind.CHANGES, nowUs);
        dispatch(nowUs);
    }

    @Override
    public void onRequest(long nowUs, Request request) {
        RequestClass requestClass = settings.classes().get(request.classIndex());
        RequestState state =
                new RequestState(request, requestClass, statistics.nextSequence(), nowUs);
        if (request.isRetry()) {
            // The latency target counts from the first attempt, which most likely waited for a
            // rejection.
            state.latencyTargetAtUs -=
                    (long) statistics.waitBeforeRejectionUs(request.classIndex());
        }
        state.cost = expectedCost(request);
        state.priority = priority(state, nowUs);
        statistics.recordArrival(state.cost);
        hedging.addTokens();
        openRequests.add(state, nowUs);
        onDemandProber.addTokens(request.isRetry());
        onDemandProber.probe(queue, nowUs);
        dispatch(nowUs);
        openRequests.rejectOrFailDue(nowUs);
    }

    private double expectedCost(Request request) {
        if (request.expectedWork() > 0) {
            return request.expectedWork();
        }
        double typicalUs = statistics.classAnswerTimeUs(request.classIndex());
        return typicalUs > 0 ? typicalUs : 1;
    }

    private double priority(RequestState state, long nowUs) {
        return state.requestClass.priorityWeight()
                / (settings.isValueProportionalToWork() ? 1 : state.cost)
                * (tenantTokenBuckets.tryTake(state.request.tenantIndex(), nowUs)
                        ? 1
                        : settings.overLimitPriorityFactor());
    }

    @Override
    public void onAttemptEnd(long nowUs, AttemptEnd end) {
        RequestState request = openRequests.get(end.requestId());
        if (request == null
                || end.attemptIndex() < 0
                || end.attemptIndex() >= request.attempts.size()) {
            return;
        }
        Attempt attempt = request.attempts.get(end.attemptIndex());
        // The report is of the process that got the attempt, which may have left the list.
        attempt.upstream.recordLoadReport(end.load(), nowUs);
        if (attempt.isOutstanding) {
            dispatcher.markEnded(request, attempt, end.outcome());
            outcomeRecorder.record(request, attempt, end, nowUs);
            peerLoads.report(attempt.upstream);
        }
        if (end.isConcluded()) {
            request.isEnded = true;
        }
        if (request.isEnded) {
            openRequests.removeIfDone(request);
        } else if (request.outstandingAttempts() == 0) {
            dispatcher.retryOrGiveUp(request, nowUs);
        }
        dispatch(nowUs);
    }

    @Override
    public void onStreamOpened(long nowUs, String requestId, int attemptIndex) {
        RequestState state = openRequests.get(requestId);
        if (state != null) {
            state.isStreaming = true;
        }
    }

    @Override
    public void onClientDisconnected(long nowUs, String requestId) {
        RequestState state = openRequests.get(requestId);
        if (state != null && !state.isEnded) {
            openRequests.conclude(state);
        }
    }

    @Override
    public void onProbeResult(long nowUs, String upstreamId, Outcome outcome, LoadReport load) {
        UpstreamState state = upstreams.byId(upstreamId);
        if (state != null && outcome == Outcome.OK) {
            state.recordLoadReport(load, nowUs);
            onDemandProber.recordAnswer(state, load, nowUs);
        }
        if (state != null && outcome == Outcome.CONNECT_FAILED) {
            ejection.eject(state, nowUs);
        }
        if (onDemandProber.endWaitIfComplete(nowUs)) {
            dispatch(nowUs);
        }
    }

    @Override
    public void onTimer(long nowUs, String token) {
        if (token.equals(DeadlineTimer.TIMER)) {
            deadlineTimer.recordTimerExpiry(nowUs);
            openRequests.rejectOrFailDue(nowUs);
        } else if (token.equals(OnDemandProber.TIMER)) {
            dispatch(nowUs);
        } else if (token.equals(SWEEP_TIMER) && nowUs >= nextSweepAtUs) {
            sweep(nowUs);
        }
    }

    @Override
    public void onPeerMessage(long nowUs, int from, byte[] body) {
        peerLoads.receive(from, body, nowUs);
    }

    /** Sends queued requests, unless it is waiting for answers to probes. */
    private void dispatch(long nowUs) {
        if (!queue.isEmpty() && nextSweepAtUs - nowUs > 2 * SWEEP_PERIOD_US) {
            sweepAfter(Jitter.around(random, SWEEP_PERIOD_US), nowUs);
        }
        if (!onDemandProber.isWaiting(nowUs)) {
            dispatcher.dispatchQueued(nowUs);
        }
    }

    private void sweepAfter(long delayUs, long nowUs) {
        nextSweepAtUs = nowUs + delayUs;
        actions.setTimer(SWEEP_TIMER, delayUs);
    }

    /** The periodic work. The order of its steps determines the order of random numbers. */
    private void sweep(long nowUs) {
        sweepAfter(
                Jitter.around(random, queue.isEmpty() ? IDLE_SWEEP_PERIOD_US : SWEEP_PERIOD_US),
                nowUs);
        openRequests.rejectOrFailDue(nowUs);
        ejection.ejectHanging(upstreams.ranked(), nowUs);
        dispatcher.shedLate(nowUs);
        if (settings.limits().hedging() && hedging.hasToken()) {
            dispatcher.hedge(nowUs);
        }
        if (nowUs >= nextReweightAtUs) {
            reweight(nowUs);
        }
        subscription.retryIfDue(nowUs);
        periodicProber.probeIfDue(nowUs);
        onDemandProber.probe(queue, nowUs);
        if (!visibility.byPeers() || random.nextDouble() < DISPATCH_PROBABILITY) {
            dispatch(nowUs);
        }
    }

    private void reweight(long nowUs) {
        long periodUs = Jitter.around(random, REWEIGHTING_PERIOD_US);
        slowStart.updateRates(subsetting.withoutReplacements(), nowUs, periodUs);
        statistics.updateRequestRate(periodUs);
        weightUpdater.update(upstreams.ranked(), nowUs);
        nextReweightAtUs = nowUs + periodUs;
    }
}
