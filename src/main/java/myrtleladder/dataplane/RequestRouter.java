package myrtleladder.dataplane;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Route;
import myrtleladder.configuration.Service;
import myrtleladder.configuration.Tenant;
import myrtleladder.dataplane.RequestCounters.Event;
import myrtleladder.http.Headers;
import myrtleladder.http.ServerExchange;
import myrtleladder.protocol.UpstreamLoad;

/**
 * First part of a request's way: matches the route, authenticates the tenant, acquires its quota
 * and starts a {@link ProxiedRequest}, or answers with an error. Confined to the event loop; the
 * HTTP server calls {@link #handle}.
 */
final class RequestRouter {
    private static final byte[] NO_BYTES = {};
    private static final String API_KEY_SCHEME = "Token ";

    /** Time after which clients retry while there is no configuration yet. */
    private static final long NOT_CONFIGURED_RETRY_AFTER_MS = 300;

    /** The same while this balancer shuts down: other balancers serve. */
    private static final long SHUTDOWN_RETRY_AFTER_MS = 10;

    /** Longest time after which clients over their quota are asked to retry. */
    private static final long MAX_QUOTA_RETRY_AFTER_MS = 2_000;

    private final DataPlane dataPlane;
    private final SplittableRandom random;
    private boolean acceptsRequests = true;

    /**
     * Creates a router.
     *
     * @param random draws services of split routes; shared with the data plane's periodic work
     */
    RequestRouter(DataPlane dataPlane, SplittableRandom random) {
        this.dataPlane = dataPlane;
        this.random = random;
    }

    /** Rejects all later requests at once: the balancer ends before they could. */
    void rejectNewRequests() {
        acceptsRequests = false;
    }

    /**
     * Takes a client's request; exactly one final response follows unless the client disconnects.
     */
    void handle(ServerExchange client) {
        count(Event.REQUEST);
        Configuration configuration = dataPlane.configuration();
        if (configuration == null || !acceptsRequests) {
            long retryAfterMs =
                    acceptsRequests ? NOT_CONFIGURED_RETRY_AFTER_MS : SHUTDOWN_RETRY_AFTER_MS;
            reject(client, 503, retryAfterMs);
            return;
        }
        Route route = matchRoute(client);
        if (route == null) {
            count(Event.NO_ROUTE);
            client.respond(404, new Headers(), NO_BYTES);
            return;
        }
        if (route.open() || configuration.tenants().isEmpty()) {
            startRequest(client, route, null, 0);
            return;
        }
        Tenant tenant = configuration.tenant(apiKeyOf(client.head().headers()));
        if (tenant == null) {
            count(Event.NO_KEY);
            client.respond(401, new Headers(), NO_BYTES);
            return;
        }
        acquireQuota(client, route, tenant);
    }

    private Route matchRoute(ServerExchange client) {
        String host = client.head().headers().get("Host");
        return dataPlane.configuration().route(host, client.head().path());
    }

    private static String apiKeyOf(Headers headers) {
        String value = headers.get(HeaderNames.AUTHORIZATION);
        return value != null && value.startsWith(API_KEY_SCHEME)
                ? value.substring(API_KEY_SCHEME.length()).trim()
                : null;
    }

    /**
     * Goes on once the quota is decided, at once or after a round trip to the primary. The request
     * for quota carries the load that this request would be, so that the primary can tell others of
     * it before the request is sent.
     */
    private void acquireQuota(ServerExchange client, Route route, Tenant tenant) {
        int usedTokens = usedTokens(client.head().headers().get(HeaderNames.TOKEN_USAGE));
        double cost = TenantQuotaClient.costUnits(tenant, usedTokens);
        dataPlane.quotas().advanceClock(dataPlane.nowMs());
        dataPlane.fleetLoads().setPendingLoad(() -> likelyLoad(client, route));
        dataPlane
                .quotas()
                .acquire(
                        tenant,
                        cost,
                        dataPlane.nowMs(),
                        waitMs -> quotaDecided(client, route, tenant, cost, waitMs));
        dataPlane.fleetLoads().setPendingLoad(FleetLoadSync.NO_PENDING_LOAD);
    }

    private void quotaDecided(
            ServerExchange client, Route route, Tenant tenant, double cost, long waitMs) {
        if (waitMs == 0) {
            startRequest(client, route, tenant, cost);
            return;
        }
        count(Event.OVER_QUOTA);
        reject(client, 429, Math.min(MAX_QUOTA_RETRY_AFTER_MS, waitMs));
    }

    /** The load of a request that waits for its quota, null if its service is not known yet. */
    private UpstreamLoad likelyLoad(ServerExchange client, Route route) {
        if (route.shares().size() != 1) {
            return null;
        }
        String serviceName = route.shares().get(0).service();
        Service service = dataPlane.configuration().service(serviceName);
        String prefix = client.head().headers().get(HeaderNames.PROMPT_PREFIX);
        return dataPlane
                .picker()
                .estimateLoad(service, PromptSegments.parse(prefix), dataPlane.nowMs());
    }

    /** Starts an admitted request; the configuration may have changed since its route matched. */
    private void startRequest(ServerExchange client, Route admitted, Tenant tenant, double cost) {
        if (!client.open()) {
            return;
        }
        Route route = matchRoute(client);
        if (route == null || !admitted.name().equals(route.name())) {
            handle(client);
            return;
        }
        Service service = dataPlane.configuration().service(drawService(route));
        dataPlane.retryBudget().recordRequest(service.name());
        ProxiedRequest request =
                new ProxiedRequest(dataPlane, client, route, service, tenant, cost);
        dataPlane.activeRequests().add(request);
        request.start();
    }

    /** Draws a service in proportion to the weights of the route's traffic split. */
    private String drawService(Route route) {
        List<Route.Share> shares = route.shares();
        double totalWeight = 0;
        for (Route.Share share : shares) {
            totalWeight += share.weight();
        }
        double drawn = random.nextDouble() * totalWeight;
        String service = null;
        for (Route.Share share : shares) {
            if (share.weight() > 0) {
                service = share.service();
                drawn -= share.weight();
                if (drawn < 0) {
                    return service;
                }
            }
        }
        return service;
    }

    /** The sum of a token usage field, 0 without a field that can be read. */
    private static int usedTokens(String usage) {
        if (usage == null) {
            return 0;
        }
        long sum = 0;
        for (String part : usage.split(",")) {
            try {
                sum += Long.parseLong(part.trim());
            } catch (NumberFormatException e) {
                return 0;
            }
        }
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, sum));
    }

    private static void reject(ServerExchange client, int status, long retryAfterMs) {
        Headers headers = new Headers().add(HeaderNames.RETRY_AFTER, retryAfter(retryAfterMs));
        client.respond(status, headers, NO_BYTES);
    }

    /** The value of a Retry-After field: seconds with three decimals. */
    static String retryAfter(long delayMs) {
        return String.format(Locale.ROOT, "%.3f", delayMs / 1_000.0);
    }

    private void count(Event event) {
        dataPlane.counters().increment(event);
    }
}
