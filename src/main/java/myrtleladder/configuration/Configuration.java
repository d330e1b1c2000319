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
    private final Map<String, Tenant> tenantsByApiKey = new HashMap<>();
    private final List<Tenant> tenants = new ArrayList<>();
    private final ClientLimits limits;

    private Configuration(JsonObject root) {
        if (!root.has("generation")) {
            throw JsonObject.invalidField("generation", "a number");
        }
        generation = root.getLong("generation", 0);
        limits = ClientLimits.parse(root);
        for (JsonObject json : root.getObjects("services")) {
            Service service = Service.parse(json);
            services.put(service.name(), service);
        }
        parseTenants(root);
        parseRoutes(root);
    }

    /**
     * Builds a configuration from a complete document and validates it.
     *
     * @param tree the JSON document, as {@link JsonCodec#parseObject} returns it
     * @throws ConfigurationException if the document is invalid
     */
    public static Configuration parse(Map<String, Object> tree) {
        return new Configuration(JsonObject.of("configuration", tree));
    }

    private void parseTenants(JsonObject root) {
        for (JsonObject json : root.getObjects("tenants")) {
            Tenant tenant = Tenant.parse(json);
            tenants.add(tenant);
            for (String apiKey : tenant.apiKeys()) {
                Tenant other = tenantsByApiKey.put(apiKey, tenant);
                if (other != null && !other.name().equals(tenant.name())) {
                    throw new ConfigurationException(
                            ResultCode.SHARED_KEY,
                            json.path() + " has a key of tenant " + other.name());
                }
            }
        }
    }

    private void parseRoutes(JsonObject root) {
        Set<String> routeKeys = new HashSet<>();
        for (JsonObject json : root.getObjects("routes")) {
            Route route = Route.parse(json);
            validateRoute(json.path(), route);
            if (!routeKeys.add(
                    route.hostname().toLowerCase(Locale.ROOT) + " " + route.pathPrefix())) {
                throw new ConfigurationException(
                        ResultCode.SAME_PLACE,
                        json.path() + " has host and prefix of another route");
            }
            routesByHost
                    .computeIfAbsent(
                            route.hostname().toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                    .add(route);
        }
        for (List<Route> routes : routesByHost.values()) {
            routes.sort((a, b) -> b.pathPrefix().length() - a.pathPrefix().length());
        }
    }

    private void validateRoute(String path, Route route) {
        if (route.timeoutMs() <= 0) {
            throw new ConfigurationException(
                    ResultCode.NO_TIMEOUT, path + ".timeout_ms is not above 0");
        }
        double totalWeight = 0;
        for (Route.WeightedService weightedService : route.trafficSplit()) {
            if (!services.containsKey(weightedService.serviceName())) {
                throw new ConfigurationException(
                        ResultCode.UNKNOWN_SERVICE,
                        path + " names the unknown service " + weightedService.serviceName());
            }
            if (weightedService.weight() < 0) {
                throw JsonObject.invalidField(
                        path + ".traffic_split", "a list of weights of 0 and more");
            }
            totalWeight += weightedService.weight();
        }
        if (totalWeight <= 0) {
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
    public Route matchRoute(String host, String path) {
        if (host == null) {
            return null;
        }
        int portSeparator = host.indexOf(':');
        String name =
                (portSeparator < 0 ? host : host.substring(0, portSeparator))
                        .toLowerCase(Locale.ROOT);
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
    public Tenant tenantByApiKey(String apiKey) {
        return apiKey == null ? null : tenantsByApiKey.get(apiKey);
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
