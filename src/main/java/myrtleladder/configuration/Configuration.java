package myrtleladder.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import myrtleladder.result.ResultCode;

/** A validated configuration with its routing table. Immutable after construction. */
public final class Configuration {
    private final long generation;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Map<String, Tenant> tenantsByKey = new HashMap<>();
    private final List<Tenant> tenants = new ArrayList<>();
    private final ClientLimits limits;

    private Configuration(Fields root) {
        if (!root.has("generation")) {
            throw Fields.wrong("generation", "a number");
        }
        generation = root.number("generation", 0);
        limits = ClientLimits.read(root);
        for (Fields fields : root.objects("services")) {
            Service service = Service.read(fields);
            services.put(service.name(), service);
        }
        readTenants(root);
        readRoutes(root);
    }

    /**
     * Builds a configuration from a complete document and validates it.
     *
     * @param tree the JSON document, as {@link JsonCodec#parseObject} returns it
     * @throws ConfigurationException if the document is invalid
     */
    public static Configuration read(Map<String, Object> tree) {
        return new Configuration(Fields.of("configuration", tree));
    }

    private void readTenants(Fields root) {
        for (Fields fields : root.objects("tenants")) {
            Tenant tenant = Tenant.read(fields);
            tenants.add(tenant);
            for (String key : tenant.keys()) {
                Tenant other = tenantsByKey.put(key, tenant);
                if (other != null && !other.name().equals(tenant.name())) {
                    throw new ConfigurationException(
                            ResultCode.SHARED_KEY,
                            fields.path() + " has a key of tenant " + other.name());
                }
            }
        }
    }

    private void readRoutes(Fields root) {
        Set<String> routeKeys = new HashSet<>();
        for (Fields fields : root.objects("routes")) {
            Route route = Route.read(fields);
            check(fields.path(), route);
            if (!routeKeys.add(
                    route.hostname().toLowerCase(Locale.ROOT) + " " + route.pathPrefix())) {
                throw new ConfigurationException(
                        ResultCode.SAME_PLACE,
                        fields.path() + " has host and prefix of another route");
            }
            routesByHost
                    .computeIfAbsent(
                            route.hostname().toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                    .add(route);
        }
        for (List<Route> ofHost : routesByHost.values()) {
            ofHost.sort((a, b) -> b.pathPrefix().length() - a.pathPrefix().length());
        }
    }

    private void check(String path, Route route) {
        if (route.timeoutMs() <= 0) {
            throw new ConfigurationException(
                    ResultCode.NO_TIMEOUT, path + ".timeout_ms is not above 0");
        }
        double sum = 0;
        for (Route.Share share : route.shares()) {
            if (!services.containsKey(share.service())) {
                throw new ConfigurationException(
                        ResultCode.UNKNOWN_SERVICE,
                        path + " names the unknown service " + share.service());
            }
            if (share.weight() < 0) {
                throw Fields.wrong(path + ".traffic_split", "a list of weights of 0 and more");
            }
            sum += share.weight();
        }
        if (sum <= 0) {
            throw new ConfigurationException(
                    ResultCode.NO_WEIGHT, path + ".traffic_split adds up to 0");
        }
    }

    /** Returns the generation number that the operator assigned to this configuration. */
    public long generation() {
        return generation;
    }

    /**
     * Returns the route of a host with the longest path prefix that matches.
     *
     * @param host the value of the Host header field, with or without a port; null matches no route
     * @return null if no route matches
     */
    public Route route(String host, String path) {
        if (host == null) {
            return null;
        }
        int port = host.indexOf(':');
        String name = (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
        for (Route route : routesByHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return route;
            }
        }
        return null;
    }

    /** Returns the service with a name, null if there is none. */
    public Service service(String name) {
        return services.get(name);
    }

    /** Returns all services. */
    public Iterable<Service> services() {
        return services.values();
    }

    /** Returns the tenant that an API key belongs to; null if the key is null or unknown. */
    public Tenant tenant(String key) {
        return key == null ? null : tenantsByKey.get(key);
    }

    /** Returns all tenants. */
    public List<Tenant> tenants() {
        return tenants;
    }

    /** Returns the limits on the requests and connections of clients. */
    public ClientLimits limits() {
        return limits;
    }
}
