package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Route;
import myrtleladder.configuration.Service;
import myrtleladder.configuration.Tenant;
import myrtleladder.http.Headers;
import myrtleladder.http.ServerExchange;
import myrtleladder.protocol.UpstreamLoad;
import myrtleladder.scheduler.Scheduler;

/** The data plane's routing: from a request to its route, its tenant's quota and its exchange. */
final class Router {
    private static final byte[] NO_BYTES = {};
    private static final long CHECK = 50;
    private static final long PERIOD = 250;
    private static final long NOT_READY_PAUSE = 300;
    private static final long LEAVING_PAUSE = 10; // other balancers are there
    private static final long LONGEST_QUOTA_PAUSE = 2_000;
    private static final String KEY_SCHEME = "Token ";

    private final Scheduler scheduler;
    private final UpstreamDirectory directory;
    private final FleetKnowledge fleet;
    private final UpstreamLinks connections;
    private final Placement placement;
    private final Admission admission = new Admission();
    private final TenantQuotas quotas;
    private final RetryBudget budget;
    private final Counters counters = new Counters();
    private final Set<Exchange> exchanges = new LinkedHashSet<>();
    private final SplittableRandom random;
    private Configuration configuration;
    private long nextPeriod;
    private boolean taking = true;

    Router(
            Scheduler scheduler,
            UpstreamLinks connections,
            RetryBudget budget,
            TenantQuotas.Bank bank,
            long seed) {
        this.quotas = new TenantQuotas(bank, seed);
        this.scheduler = scheduler;
        this.connections = connections;
        this.directory = new UpstreamDirectory(u -> connections.closeIdle());
        this.fleet = new FleetKnowledge(directory, seed);
        this.placement = new Placement(directory, connections, fleet);
        this.budget = budget;
        this.random = new SplittableRandom(seed);
    }

    void start() {
        tick();
    }

    private void tick() {
        scheduler.schedule(CHECK, this::tick);
        long now = now();
        quotas.time(now);
        for (Exchange exchange : new ArrayList<>(exchanges)) {
            exchange.check(now);
        }
        if (now >= nextPeriod) {
            nextPeriod = now + PERIOD / 2 + random.nextLong(PERIOD);
            placement.reweight(now);
            connections.closeIdle();
        }
    }

    /** Takes a newer configuration. */
    void use(Configuration next) {
        configuration = next;
        directory.use(next);
        quotas.use(next, now());
    }

    Configuration configuration() {
        return configuration;
    }

    /** How many balancers share what is shared. */
    void balancers(int count) {
        placement.balancers(count);
        budget.balancers(count);
        quotas.balancers(count);
    }

    // ---- Requests
    // ------------------------------------------------------------------------------------

    /** From now on requests are refused at once: this balancer ends before they could. */
    void stopTaking() {
        taking = false;
    }

    /** Takes a client's request. */
    void handle(ServerExchange client) {
        counters.count(Counters.Event.REQUEST);
        if (configuration == null || !taking) {
            long pause = taking ? NOT_READY_PAUSE : LEAVING_PAUSE;
            client.respond(503, new Headers().add(Names.RETRY_AFTER, seconds(pause)), NO_BYTES);
            return;
        }
        Headers headers = client.head().headers();
        Route route = configuration.route(headers.get("Host"), client.head().path());
        if (route == null) {
            counters.count(Counters.Event.NO_ROUTE);
            client.respond(404, new Headers(), NO_BYTES);
            return;
        }
        Tenant tenant = null;
        if (!route.open() && !configuration.tenants().isEmpty()) {
            tenant = configuration.tenant(keyOf(headers));
            if (tenant == null) {
                counters.count(Counters.Event.NO_KEY);
                client.respond(401, new Headers(), NO_BYTES);
                return;
            }
        }
        admit(client, route, tenant);
    }

    private static String keyOf(Headers headers) {
        String value = headers.get(Names.AUTHORIZATION);
        return value != null && value.startsWith(KEY_SCHEME)
                ? value.substring(KEY_SCHEME.length()).trim()
                : null;
    }

    private void admit(ServerExchange client, Route route, Tenant tenant) {
        if (tenant == null) {
            exchange(client, route, null, 0);
            return;
        }
        double cost = TenantQuotas.cost(tenant, usage(client.head().headers().get(Names.USAGE)));
        quotas.time(now());
        fleet.intends(() -> likely(client, route));
        quotas.admit(
                tenant,
                cost,
                now(),
                wait -> {
                    if (wait == 0) {
                        exchange(client, route, tenant, cost);
                        return;
                    }
                    counters.count(Counters.Event.OVER_QUOTA);
                    String pause = seconds(Math.min(LONGEST_QUOTA_PAUSE, wait));
                    client.respond(429, new Headers().add(Names.RETRY_AFTER, pause), NO_BYTES);
                });
        fleet.intends(FleetKnowledge.NOTHING);
    }

    /** Where a request that waits for its quota will likely go. */
    private UpstreamLoad likely(ServerExchange client, Route route) {
        if (route.shares().size() != 1) {
            return null;
        }
        Service service = configuration.service(route.shares().get(0).service());
        PromptParts prompt = PromptParts.parse(client.head().headers().get(Names.PREFIX));
        return placement.likely(service, prompt, now());
    }

    /** Begins the exchange of a request that is allowed; the configuration may be newer by now. */
    private void exchange(ServerExchange client, Route admitted, Tenant tenant, double cost) {
        if (!client.open()) {
            return;
        }
        Route route =
                configuration.route(client.head().headers().get("Host"), client.head().path());
        if (route == null || !admitted.name().equals(route.name())) {
            handle(client);
            return;
        }
        Service service = configuration.service(serviceOf(route));
        budget.request(service.name());
        Exchange exchange = new Exchange(this, client, route, service, tenant, cost);
        exchanges.add(exchange);
        exchange.place();
    }

    /** The two numbers of the usage together, 0 without them. */
    static int usage(String text) {
        if (text == null) {
            return 0;
        }
        long sum = 0;
        for (String part : text.split(",")) {
            try {
                sum += Long.parseLong(part.trim());
            } catch (NumberFormatException e) {
                return 0;
            }
        }
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, sum));
    }

    private String serviceOf(Route route) {
        List<Route.Share> shares = route.shares();
        double sum = 0;
        for (Route.Share share : shares) {
            sum += share.weight();
        }
        double drawn = random.nextDouble() * sum;
        String last = null;
        for (Route.Share share : shares) {
            if (share.weight() > 0) {
                last = share.service();
                drawn -= share.weight();
                if (drawn < 0) {
                    return last;
                }
            }
        }
        return last;
    }

    /** Milliseconds as the seconds of a header field. */
    static String seconds(long ms) {
        return String.format(Locale.ROOT, "%.3f", ms / 1_000.0);
    }

    // ---- What exchanges use
    // --------------------------------------------------------------------------

    long now() {
        return scheduler.now();
    }

    Scheduler scheduler() {
        return scheduler;
    }

    UpstreamDirectory directory() {
        return directory;
    }

    FleetKnowledge fleet() {
        return fleet;
    }

    UpstreamLinks connections() {
        return connections;
    }

    Placement placement() {
        return placement;
    }

    Admission admission() {
        return admission;
    }

    TenantQuotas quotas() {
        return quotas;
    }

    RetryBudget budget() {
        return budget;
    }

    Counters counters() {
        return counters;
    }

    void count(Counters.Event event) {
        counters.count(event);
    }

    void ended(Exchange exchange) {
        exchanges.remove(exchange);
    }

    int underWay() {
        return exchanges.size();
    }
}
