package myrtleladder.loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;

/**
 * A load balancer whose weights follow the utilisation that upstreams report: in each period every
 * upstream is reweighted by its distance from the mean ({@link UtilisationWeights}), and a request
 * goes to an upstream in proportion to weight / (load + 1)^bias ({@link WeightedLeastLoadPicker}).
 * What goes beyond that is a factor on the weight or a filter before the pick, each in a class of
 * its own; this class creates them, hands events to them and runs the periodic work.
 *
 * <p>Random numbers come from one seeded source, so that equal events give equal decisions. Not
 * safe for use by several threads at once, see {@link LoadBalancer}.
 */
public final class UtilisationLoadBalancer implements LoadBalancer {
    /** The timer of the periodic work. */
    private static final String SWEEP_TIMER = "sweep";

    /** Mean time between sweeps with requests queued, microseconds, jittered. */
    private static final long SWEEP_US = 10_000;

    /** The same with none queued; timers cost CPU in large groups. */
    private static final long IDLE_SWEEP_US = 50_000;

    /** Mean reweighting period, microseconds. Jittered: balancers drift apart. */
    private static final long REWEIGHTING_PERIOD_US = 250_000;

    /**
     * Chance that a sweep dispatches what is queued, where peers report their loads. Their reports
     * are a network delay old: else all would take the same freed place at once.
     */
    private static final double DISPATCH_CHANCE = 0.25;

    /** Ticks by which a final answer precedes the deadline, since ticks are coarse. */
    private static final long MARGIN_TICKS = 3;

    /** Least tick that the margin is computed with, microseconds. */
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

    /** Creates an instance; bad settings are rejected with the field's name. */
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

    /** The pace at which the first queue would just meet the tightest latency target. */
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
            // Its target runs from the first attempt, and mostly a rejection lies behind it.
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
        // Of the process that it was sent to, which may have left the list.
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
    public void opened(long now, String request, int attempt) {
        RequestState state = requests.get(request);
        if (state != null) {
            state.isStreaming = true;
        }
    }

    @Override
    public void clientGone(long now, String request) {
        RequestState state = requests.get(request);
        if (state != null && !state.isEnded) {
            requests.conclude(state);
        }
    }

    @Override
    public void probed(long now, String upstream, Outcome outcome, LoadReport load) {
        UpstreamState state = upstreams.byId(upstream);
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

    /** Sends what is queued, unless answers to probes are awaited. */
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

    /** The periodic work. The order of its steps fixes the order of random numbers. */
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
