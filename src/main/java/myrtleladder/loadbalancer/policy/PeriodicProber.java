package myrtleladder.loadbalancer.policy;

import java.util.Collections;
import java.util.Comparator;
import java.util.SplittableRandom;

/**
 * Probes all upstreams in turn at a low rate. Used if load reports come by probe only and on-demand
 * probing is disabled. The rate depends on the price of a probe and on traffic.
 */
final class PeriodicProber {
    /** Points of the score that probing may cost per request. */
    private static final double BUDGET_POINTS = 0.003;

    /** Minimum mean time between two probes of one upstream, microseconds. */
    private static final long MIN_PERIOD_US = 300_000;

    private static final double MICROS_PER_SECOND = 1e6;

    private final boolean isEnabled;
    private final double probePrice;
    private final UpstreamTable upstreams;
    private final RequestStatistics statistics;
    private final SplittableRandom random;
    private final LoadBalancer.Actions actions;
    private long nextProbeAtUs;

    PeriodicProber(
            Settings settings,
            LoadVisibility visibility,
            UpstreamTable upstreams,
            RequestStatistics statistics,
            SplittableRandom random,
            LoadBalancer.Actions actions) {
        this.isEnabled =
                !visibility.byProbes()
                        && settings.loadReportSource() == LoadReportSource.PROBES
                        && settings.limits().probing();
        this.probePrice = settings.prices().probe();
        this.upstreams = upstreams;
        this.statistics = statistics;
        this.random = random;
        this.actions = actions;
    }

    /** Schedules the first probe; draws a random number. */
    void start(long nowUs) {
        nextProbeAtUs = nowUs + Jitter.around(random, MIN_PERIOD_US);
    }

    /** Probes the upstream with the oldest probe, if a probe is due. */
    void probeIfDue(long nowUs) {
        if (!isEnabled || nowUs < nextProbeAtUs || upstreams.isEmpty()) {
            return;
        }
        double probesPerRequest = probePrice > 0 ? BUDGET_POINTS / probePrice : 1;
        double perSecond =
                Math.min(
                        probesPerRequest * Math.max(statistics.requestsPerSecond(), 1),
                        upstreams.size() * MICROS_PER_SECOND / MIN_PERIOD_US);
        nextProbeAtUs = nowUs + Jitter.around(random, (long) (MICROS_PER_SECOND / perSecond));
        UpstreamState oldest =
                Collections.min(
                        upstreams.ranked(),
                        Comparator.comparingLong(upstream -> upstream.periodicallyProbedAtUs));
        oldest.periodicallyProbedAtUs = nowUs;
        actions.probe(oldest.id);
    }
}
