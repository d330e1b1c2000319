package myrtleladder.loadbalancer.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import myrtleladder.loadbalancer.policy.LoadBalancer;
import myrtleladder.loadbalancer.policy.LoadReport;
import myrtleladder.loadbalancer.policy.Outcome;

/**
 * Sends load probes: requests the load report of an upstream by {@code GET /load} and passes the
 * result to the decision module.
 *
 * <p>Confined to the event loop.
 */
final class ProbeSender {
    private static final String LOAD_PATH = "/load";

    /** Timeout of a probe; an upstream that hangs accepts it but never responds. */
    private static final long PROBE_TIMEOUT_MS = 500;

    private final EventLoop loop;
    private final UpstreamConnectionPool connections;
    private final String host;
    private final LoadReportParser loadReports;
    private final MonotonicClock clock;
    private final EventSerializer events;
    private final LoadBalancer balancer;

    /** Creates a sender; {@code host} is the value of the {@code Host} header field. */
    ProbeSender(
            EventLoop loop,
            UpstreamConnectionPool connections,
            String host,
            LoadReportParser loadReports,
            MonotonicClock clock,
            EventSerializer events,
            LoadBalancer balancer) {
        this.loop = loop;
        this.connections = connections;
        this.host = host;
        this.loadReports = loadReports;
        this.clock = clock;
        this.events = events;
        this.balancer = balancer;
    }

    /** Sends one probe; its result or timeout is reported exactly once. */
    void probe(String upstream) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, LOAD_PATH, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        ScheduledFuture<?>[] timeout = new ScheduledFuture<?>[1];
        Exchange exchange =
                connections.start(
                        upstream,
                        request,
                        () -> true,
                        (outcome, response) -> {
                            timeout[0].cancel(false);
                            report(upstream, outcome, parse(outcome, response));
                        });
        timeout[0] =
                loop.schedule(
                        () -> {
                            exchange.abandon();
                            report(upstream, Outcome.TIMEOUT, null);
                        },
                        PROBE_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }

    private LoadReport parse(Outcome outcome, FullHttpResponse response) {
        if (outcome != Outcome.OK) {
            return null;
        }
        return loadReports.parse(response.content().toString(StandardCharsets.US_ASCII));
    }

    private void report(String upstream, Outcome outcome, LoadReport load) {
        events.run(() -> balancer.onProbeResult(clock.nowUs(), upstream, outcome, load));
    }
}
