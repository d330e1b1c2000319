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
 * The first stage of request handling: matches the route, authenticates the tenant, acquires its
 * quota, and starts a {@link ProxiedRequest} or responds with an error. Confined to the event loop;
 * the HTTP server calls {@link #handle}.
 */
final class RequestRouter {
    private static final byte[] NO_BYTES = {};
    private static final String API_KEY_SCHEME = "Token ";

    /** Retry-After while this balancer has no configuration yet. */
    private static final long NOT_CONFIGURED_RETRY_AFTER_MS = 300;

    /** Retry-After while this balancer shuts down; short, since other balancers are available. */
    private static final long SHUTDOWN_RETRY_AFTER_MS = 10;

    /** Retry-After while there is no memory for the copy of a body that is sent to an upstream. */
    private static final long OUT_OF_MEMORY_RETRY_AFTER_MS = 500;

    /** Maximum Retry-After of requests over quota. */
    private static final long MAX_QUOTA_RETRY_AFTER_MS = 2_000;

    private final DataPlane dataPlane;
    private final SplittableRandom random;
    private boolean acceptsRequests = true;

    /**
     * Creates a router.
     *
     * @param random selects services of routes with a traffic split; shared with the periodic work
     *     of the data plane
     */
    RequestRouter(DataPlane dataPlane, SplittableRandom random) {
        this.dataPlane = dataPlane;
        this.random = random;
    }

    /** Rejects all requests from now on, since the process may terminate before they complete. */
    void rejectNewRequests() {
        acceptsRequests = false;
    }

    /**
     * Handles a client's request. It receives exactly one final response unless the client
     * disconnects.
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
        if (!client.reserveMemory(client.body().length)) {
            count(Event.NOT_ADMITTED);
            reject(client, 503, OUT_OF_MEMORY_RETRY_AFTER_MS);
            return;
        }
        Route route = matchRoute(client);
        if (route == null) {
            count(Event.NO_ROUTE);
            client.respond(404, new Headers(), NO_BYTES);
            return;
        }
        if (route.isPublic() || configuration.tenants().isEmpty()) {
            startRequest(client, route, null, 0);
            return;
        }
        Tenant tenant = configuration.tenantByApiKey(apiKeyOf(client.head().headers()));
        if (tenant == null) {
            count(Event.NO_KEY);
            client.respond(401, new Headers(), NO_BYTES);
            return;
        }
        acquireQuota(client, route, tenant);
    }

    private Route matchRoute(ServerExchange client) {
        String host = client.head().headers().get("Host");
        return dataPlane.configuration().matchRoute(host, client.head().path());
    }

    private static String apiKeyOf(Headers headers) {
        String value = headers.get(HeaderNames.AUTHORIZATION);
        return value != null && value.startsWith(API_KEY_SCHEME)
                ? value.substring(API_KEY_SCHEME.length()).trim()
                : null;
    }

    /**
     * Acquires the quota, at once or with a round trip to the primary, and then continues with the
     * request. The quota request reports the load that this request will add, so that the primary
     * can inform the other balancers of it before the request is sent.
     */
    private void acquireQuota(ServerExchange client, Route route, Tenant tenant) {
        int usedTokens = parseTokenUsage(client.head().headers().get(HeaderNames.TOKEN_USAGE));
        double cost = TenantQuotaClient.costUnits(tenant, usedTokens);
        dataPlane.quotas().advanceClock(dataPlane.nowMs());
        dataPlane.fleetLoads().setPendingLoad(() -> estimateLoad(client, route));
        dataPlane
                .quotas()
                .acquire(
                        tenant,
                        cost,
                        dataPlane.nowMs(),
                        waitMs -> onQuotaDecision(client, route, tenant, cost, waitMs));
        dataPlane.fleetLoads().setPendingLoad(FleetLoadSync.NO_PENDING_LOAD);
    }

    private void onQuotaDecision(
            ServerExchange client, Route route, Tenant tenant, double cost, long waitMs) {
        if (waitMs == 0) {
            startRequest(client, route, tenant, cost);
            return;
        }
        count(Event.OVER_QUOTA);
        reject(client, 429, Math.min(MAX_QUOTA_RETRY_AFTER_MS, waitMs));
    }

    /**
     * Estimates the load of a request that awaits its quota; null for a route with several
     * services, since one of them is selected only afterwards.
     */
    private UpstreamLoad estimateLoad(ServerExchange client, Route route) {
        if (route.trafficSplit().size() != 1) {
            return null;
        }
        String serviceName = route.trafficSplit().get(0).serviceName();
        Service service = dataPlane.configuration().service(serviceName);
        String prefix = client.head().headers().get(HeaderNames.PROMPT_PREFIX);
        return dataPlane
                .picker()
                .estimateLoad(service, PromptSegments.parse(prefix), dataPlane.nowMs());
    }

    /**
     * Starts a request that has its quota. The configuration may have changed while the quota was
     * being acquired; if the request now matches another route or none, it is handled from the
     * start.
     */
    private void startRequest(
            ServerExchange client, Route admittedRoute, Tenant tenant, double cost) {
        if (!client.open()) {
            return;
        }
        Route route = matchRoute(client);
        if (route == null || !admittedRoute.name().equals(route.name())) {
            handle(client);
            return;
        }
        Service service = dataPlane.configuration().service(selectService(route));
        dataPlane.retryBudget().recordRequest(service.name());
        ProxiedRequest request =
                new ProxiedRequest(dataPlane, client, route, service, tenant, cost);
        dataPlane.activeRequests().add(request);
        request.start();
    }

    /** Selects a service at random, in proportion to the weights of the traffic split. */
    private String selectService(Route route) {
        List<Route.WeightedService> trafficSplit = route.trafficSplit();
        double totalWeight = 0;
        for (Route.WeightedService weightedService : trafficSplit) {
            totalWeight += weightedService.weight();
        }
        double remainingWeight = random.nextDouble() * totalWeight;
        String service = null;
        for (Route.WeightedService weightedService : trafficSplit) {
            if (weightedService.weight() > 0) {
                service = weightedService.serviceName();
                remainingWeight -= weightedService.weight();
                if (remainingWeight < 0) {
                    return service;
                }
            }
        }
        return service;
    }

    /** Parses a token usage field and returns the sum; 0 if the field is missing or malformed. */
    private static int parseTokenUsage(String usage) {
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

    /** Formats the value of a Retry-After field: seconds with three decimals. */
    static String retryAfter(long delayMs) {
        return String.format(Locale.ROOT, "%.3f", delayMs / 1_000.0);
    }

    private void count(Event event) {
        dataPlane.counters().increment(event);
    }
}
