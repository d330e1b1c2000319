package myrtleladder.loadbalancer.admin;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.FileDescriptorMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.core.instrument.binder.system.UptimeMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import myrtleladder.cluster.ConsensusStatus;
import myrtleladder.loadbalancer.server.BalancerStatus;

/**
 * Metrics of one load balancer in the text format of Prometheus. The load balancer keeps its
 * counters in plain fields on its event loop; a scrape reads all of them in one task on that loop.
 *
 * <p>Scrapes run on the admin server's thread.
 */
final class BalancerMetrics implements AutoCloseable {
    /** Each metric is exported under both prefixes: dashboards and alerts still use the first. */
    private static final List<String> PREFIXES = List.of("yewyoke.", "myrtleladder.");

    private static final List<String> ANSWER_LABEL_VALUES =
            List.of("served", "refused", "failed", "left");
    private static final BalancerStatus INITIAL_STATUS =
            new BalancerStatus(false, 0, 0, 0, 0, 0, Map.of(), Map.of());

    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Supplier<Future<BalancerStatus>> balancer;

    /** Null if no consensus is configured. */
    private final Supplier<Future<ConsensusStatus>> consensus;

    /**
     * As last read. The previous value is kept while the event loop is busy, since counters must
     * not decrease.
     */
    private volatile BalancerStatus balancerStatus = INITIAL_STATUS;

    /** As last read; null if the event loop did not answer in time. */
    private volatile ConsensusStatus consensusStatus;

    /**
     * Registers all metrics. Blocks while it queries the status for the first time.
     *
     * @param process value of the label {@code process}
     * @param consensus null if it is not configured
     */
    BalancerMetrics(
            String process,
            Supplier<Future<BalancerStatus>> balancer,
            Supplier<Future<ConsensusStatus>> consensus) {
        this.balancer = balancer;
        this.consensus = consensus;
        registerProcessMetrics(process);
        registerBalancerMetrics();
        if (consensus != null) {
            registerConsensusMetrics();
        }
        refresh();
        registerAttemptMetrics();
    }

    private void registerProcessMetrics(String process) {
        registry.config().commonTags("process", process);
        new JvmMemoryMetrics().bindTo(registry);
        new FileDescriptorMetrics().bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
        new UptimeMetrics().bindTo(registry);
    }

    private void registerBalancerMetrics() {
        gauge("ready", "1 if there is a list to serve from", s -> s.isReady() ? 1 : 0);
        gauge("upstreams", "Upstreams on the list", BalancerStatus::upstreams);
        gauge("requests.open", "Requests taken and not ended", BalancerStatus::openRequests);
        gauge("connections", "Connections to upstreams", BalancerStatus::connections);
        counter(
                "connects",
                "Connections opened to upstreams",
                Tags.empty(),
                BalancerStatus::connects);
        counter("requests", "Requests taken", Tags.empty(), BalancerStatus::requests);
        for (String answer : ANSWER_LABEL_VALUES) {
            counter(
                    "answers",
                    "Requests by how they ended",
                    Tags.of("answer", answer),
                    s -> s.answers().getOrDefault(answer, 0L));
        }
    }

    /** Registers a counter for each outcome of an attempt that the first status names. */
    private void registerAttemptMetrics() {
        for (String end : balancerStatus.attempts().keySet()) {
            counter(
                    "attempts",
                    "Attempts by how they ended",
                    Tags.of("end", end),
                    s -> s.attempts().getOrDefault(end, 0L));
        }
    }

    private void registerConsensusMetrics() {
        consensusGauge(
                "agreement.decides",
                "1 if a majority of the council is heard here",
                s -> s.decides() ? 1 : 0);
        consensusGauge(
                "agreement.leads",
                "1 if this process leads",
                s -> s.self().equals(s.leader()) ? 1 : 0);
        consensusGauge("agreement.members", "Lives in the view", s -> s.view().lives().size());
        consensusGauge("agreement.applied", "Decrees known here", ConsensusStatus::applied);
        consensusGauge(
                "agreement.waiting",
                "Commands of this process that are not decided",
                ConsensusStatus::waiting);
    }

    private void gauge(String name, String description, ToDoubleFunction<BalancerStatus> value) {
        for (String prefix : PREFIXES) {
            Gauge.builder(prefix + name, () -> value.applyAsDouble(balancerStatus))
                    .description(description)
                    .register(registry);
        }
    }

    private void counter(
            String name, String description, Tags tags, Function<BalancerStatus, Long> value) {
        for (String prefix : PREFIXES) {
            FunctionCounter.builder(
                            prefix + name, this, metrics -> value.apply(metrics.balancerStatus))
                    .description(description)
                    .tags(tags)
                    .register(registry);
        }
    }

    /**
     * Registers a gauge of the consensus; its value is NaN while the event loop does not answer.
     */
    private void consensusGauge(
            String name, String description, ToDoubleFunction<ConsensusStatus> value) {
        for (String prefix : PREFIXES) {
            Gauge.builder(prefix + name, () -> consensusValue(value))
                    .description(description)
                    .register(registry);
        }
    }

    private double consensusValue(ToDoubleFunction<ConsensusStatus> value) {
        ConsensusStatus status = consensusStatus;
        return status == null ? Double.NaN : value.applyAsDouble(status);
    }

    /** Returns all metrics as text; empty if the load balancer did not answer in time. */
    Optional<String> scrape() {
        return refresh() ? Optional.of(registry.scrape()) : Optional.empty();
    }

    private boolean refresh() {
        Optional<BalancerStatus> read = EventLoopQueries.await(balancer.get());
        read.ifPresent(status -> balancerStatus = status);
        consensusStatus =
                consensus == null ? null : EventLoopQueries.await(consensus.get()).orElse(null);
        return read.isPresent();
    }

    @Override
    public void close() {
        registry.close();
    }
}
