package myrtleladder.loadbalancer.policy;

import java.util.List;

/** Updates the weights by the last reported utilisations. */
final class WeightUpdater {
    /** Age above which a report is no longer fresh, microseconds. */
    private static final long REPORT_LIFETIME_US = 3_000_000;

    private final RequestStatistics statistics;

    WeightUpdater(RequestStatistics statistics) {
        this.statistics = statistics;
    }

    /** Updates weights and the mean minimum service time at the end of a period. */
    void update(List<UpstreamState> upstreams, long nowUs) {
        double minServiceTimes = 0;
        for (UpstreamState upstream : upstreams) {
            minServiceTimes += upstream.minServiceTime;
            upstream.utilisation = freshUtilisation(upstream, nowUs);
        }
        statistics.setMinServiceTime(minServiceTimes / Math.max(1, upstreams.size()));
        UtilisationWeights.update(upstreams);
    }

    /** The reported utilisation, clamped to 0 to 1; NaN without a fresh report. */
    private static double freshUtilisation(UpstreamState upstream, long nowUs) {
        if (nowUs - upstream.loadReportAtUs > REPORT_LIFETIME_US) {
            return Double.NaN;
        }
        return Math.max(0, Math.min(1, upstream.loadReport.utilisation()));
    }
}
