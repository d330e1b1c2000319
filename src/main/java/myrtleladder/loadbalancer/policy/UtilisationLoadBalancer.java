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
    private static final long SWEEP_US = 10_000;

    /**
     * Mean time between sweeps while none is queued, microseconds. Longer, since timers cost CPU in
     * large groups.
     */
    private static final long IDLE_SWEEP_US = 50_000;

    /** Mean reweighting period, microseconds. Jittered, so that balancers do not act together. */
    private static final long REWEIGHTING_PERIOD_US = 250_000;

    /**
     * Probability that a sweep dispatches queued requests where peers report their loads. Reports
     * arrive after a network delay. Without the random choice, all balancers would send to the same
     * freed upstream at once.
     */
    private static final double DISPATCH_CHANCE = 0.25;

    /** Timer ticks by which a final answer precedes the deadline, because ticks are coarse. */
    private static final long MARGIN_TICKS = 3;

    /** Minimum tick used to compute that margin, microseconds. */
    private static final long LEAST_TICK_US = 1_000;

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
    private final PeerLoadExchange peers;
    private final EndpointSubscription subscription;
    private final TenantShares tenantShares;
    private final DeadlineTimer deadlines;
    private final HedgingPolicy hedging;
    private final RequestQueue queue;
    private final OpenRequests requests;
    private final RequestDispatcher dispatcher;
    private final OutcomeRecorder outcomes;
    private final WeightUpdater weights;
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
        long marginUs = MARGIN_TICKS * Math.max(settings.tickUs(), LEAST_TICK_US);
        QueueingDelayTarget delayTarget = QueueingDelayTarget.of(settings);
        this.statistics = new RequestStatistics(settings.classes().size(), firstPaceUs(settings));
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
        this.peers =
                new PeerLoadExchange(settings, visibility, upstreams, subsetting, loads, actions);
        this.subscription = new EndpointSubscription(settings.askForList(), random, actions);
        this.tenantShares = new TenantShares(settings.tenants(), settings.groupSize());
        this.deadlines = new DeadlineTimer(marginUs, actions);
        this.hedging = new HedgingPolicy(statistics, delayTarget);
        this.weights = new WeightUpdater(statistics);
        this.outcomes =
                new OutcomeRecorder(visibility, statistics, ejection, limiter, onDemandProber);
        ZonePreference zones = new ZonePreference(settings);
        KeyAffinity affinity = new KeyAffinity(settings.warmKeys(), upstreams, ejection, zones);
        RetryPolicy retryPolicy = new RetryPolicy(settings.limits(), marginUs);
        UpstreamEligibility eligibility =
                new UpstreamEligibility(
                        subsetting, ejection, retryPolicy, onDemandProber, slowStart);
        WeightedLeastLoadPicker picker =
                new WeightedLeastLoadPicker(
                        subsetting, eligibility, admission, slowStart, loads, zones, random);
        this.queue = new RequestQueue(affinity);
        this.requests = new OpenRequests(settings.limits(), queue, deadlines, statistics, actions);
        this.dispatcher =
                new RequestDispatcher(
                        requests,
                        queue,
                        deadlines,
                        affinity,
                        eligibility,
                        picker,
                        retryPolicy,
                        hedging,
                        admission,
                        loads,
                        slowStart,
                        peers,
                        actions);
    }

    /** The delay per request at which the initial queue just meets the tightest latency target. */
    private static double firstPaceUs(Settings settings) {
        return AdmissionControl.REPORTED_SHARE
                * QueueingDelayTarget.tightestLatencyTargetUs(settings)
                / ConcurrencyLimiter.FIRST_TOTAL;
    }

    @Override
    public void start(long now) {
        nextReweightAtUs = now + Jitter.around(random, REWEIGHTING_PERIOD_US);
        periodicProber.start(now);
        sweepAfter(SWEEP_US, now);
        subscription.start();
    }

    @Override
    public void upstreams(long now, ListKind kind, List<Upstream> entries) {
        if (kind == ListKind.UNAVAILABLE) {
            subscription.recordFailure(now);
            return;
        }
        subscription.recordSuccess();
        upstreams.update(entries, kind != ListKind.CHANGES, now);
        dispatch(now);
    }

    @Override
    public void request(long now, Request request) {
        RequestClass requestClass = settings.classes().get(request.classIndex());
        RequestState state =
                new RequestState(request, requestClass, statistics.nextSequence(), now);
        if (request.isRetry()) {
            // The latency target counts from the first attempt, which most likely waited for a
            // rejection.
            state.targetAtUs -= (long) statistics.waitBeforeRejectionUs(request.classIndex());
        }
        state.cost = expectedCost(request);
        state.priority = priority(state, now);
        statistics.recordArrival(state.cost);
        hedging.earnTokens();
        requests.add(state, now);
        onDemandProber.earnTokens(request.isRetry());
        onDemandProber.probe(queue, now);
        dispatch(now);
        requests.finishDue(now);
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
                / (settings.worthByWork() ? 1 : state.cost)
                * (tenantShares.tryTake(state.request.tenant(), nowUs)
                        ? 1
                        : settings.overShareFactor());
    }

    @Override
    public void outcome(long now, AttemptEnd end) {
        RequestState request = requests.get(end.request());
        if (request == null || end.attempt() < 0 || end.attempt() >= request.attempts.size()) {
            return;
        }
        Attempt attempt = request.attempts.get(end.attempt());
        // The report is of the process that got the attempt, which may have left the list.
        attempt.upstream.acceptReport(end.load(), now);
        if (attempt.isOutstanding) {
            dispatcher.recordEnd(request, attempt, end.outcome());
            outcomes.record(request, attempt, end, now);
            peers.report(attempt.upstream);
        }
        if (end.isConcluded()) {
            request.isEnded = true;
        }
        if (request.isEnded) {
            requests.removeIfDone(request);
        } else if (request.outstandingAttempts() == 0) {
            dispatcher.retryOrFinish(request, now);
        }
        dispatch(now);
    }

    @Override
    public void opened(long now, String requestId, int attemptIndex) {
        RequestState state = requests.get(requestId);
        if (state != null) {
            state.isStreaming = true;
        }
    }

    @Override
    public void clientGone(long now, String requestId) {
        RequestState state = requests.get(requestId);
        if (state != null && !state.isEnded) {
            requests.conclude(state);
        }
    }

    @Override
    public void probed(long now, String upstreamId, Outcome outcome, LoadReport load) {
        UpstreamState state = upstreams.byId(upstreamId);
        if (state != null && outcome == Outcome.OK) {
            state.acceptReport(load, now);
            onDemandProber.recordAnswer(state, load, now);
        }
        if (state != null && outcome == Outcome.CONNECT_FAILED) {
            ejection.eject(state, now);
        }
        if (onDemandProber.endWaitIfComplete(now)) {
            dispatch(now);
        }
    }

    @Override
    public void timer(long now, String token) {
        if (token.equals(DeadlineTimer.TIMER)) {
            deadlines.recordTimer(now);
            requests.finishDue(now);
        } else if (token.equals(OnDemandProber.TIMER)) {
            dispatch(now);
        } else if (token.equals(SWEEP_TIMER) && now >= nextSweepAtUs) {
            sweep(now);
        }
    }

    @Override
    public void peerMessage(long now, int from, byte[] body) {
        peers.receive(from, body, now);
    }

    /** Sends queued requests, unless it is waiting for answers to probes. */
    private void dispatch(long nowUs) {
        if (!queue.isEmpty() && nextSweepAtUs - nowUs > 2 * SWEEP_US) {
            sweepAfter(Jitter.around(random, SWEEP_US), nowUs);
        }
        if (!onDemandProber.isWaiting(nowUs)) {
            dispatcher.dispatchQueued(nowUs);
        }
    }

    private void sweepAfter(long delayUs, long nowUs) {
        nextSweepAtUs = nowUs + delayUs;
        actions.timer(SWEEP_TIMER, delayUs);
    }

    /** The periodic work. The order of its steps determines the order of random numbers. */
    private void sweep(long nowUs) {
        sweepAfter(Jitter.around(random, queue.isEmpty() ? IDLE_SWEEP_US : SWEEP_US), nowUs);
        requests.finishDue(nowUs);
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
        if (!visibility.byPeers() || random.nextDouble() < DISPATCH_CHANCE) {
            dispatch(nowUs);
        }
    }

    private void reweight(long nowUs) {
        long periodUs = Jitter.around(random, REWEIGHTING_PERIOD_US);
        slowStart.measureRates(subsetting.withoutReplacements(), nowUs, periodUs);
        statistics.measureRequestRate(periodUs);
        weights.update(upstreams.ranked(), nowUs);
        nextReweightAtUs = nowUs + periodUs;
    }
}
