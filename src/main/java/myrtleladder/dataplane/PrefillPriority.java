package myrtleladder.dataplane;

import myrtleladder.configuration.Route;
import myrtleladder.configuration.Tenant;

/**
 * The priority of a request at a model upstream: the tenant's, then the class of its prompt.
 * Prompts that take a small part of the route's latency target to read (prefill) go first: a short
 * prompt hardly delays a long one, a long one makes many short ones late. Stateless.
 */
final class PrefillPriority {
    /** Part of the latency target that reading takes in the first class. */
    private static final double SHORT_PREFILL = 0.15;

    /** Part of the latency target that reading takes in the second class. */
    private static final double MEDIUM_PREFILL = 0.4;

    /** Number of prefill classes, and so the distance of two tenant priorities. */
    private static final int PREFILL_CLASSES = 3;

    /** The last priority that upstreams know. */
    private static final int LAST_PRIORITY = 9;

    private PrefillPriority() {}

    /**
     * The priority of a request, from 0, which goes first, to 9.
     *
     * @param tenant null on routes that need none
     */
    static int of(Route route, Tenant tenant, double prefillMs) {
        int tenantPriority = tenant == null ? 0 : tenant.priority() * PREFILL_CLASSES;
        return Math.min(LAST_PRIORITY, tenantPriority + prefillClass(route, prefillMs));
    }

    /** The class of a prompt, from 0, which goes first, to 2. */
    static int prefillClass(Route route, double prefillMs) {
        double part = prefillMs / Math.max(1, route.targetLatencyMs());
        if (part <= SHORT_PREFILL) {
            return 0;
        }
        return part <= MEDIUM_PREFILL ? 1 : 2;
    }
}
