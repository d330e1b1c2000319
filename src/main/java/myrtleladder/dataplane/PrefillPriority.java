package myrtleladder.dataplane;

import myrtleladder.configuration.Route;
import myrtleladder.configuration.Tenant;

/**
 * The priority of a request at a model upstream: the tenant's priority first, then the prefill
 * class of the prompt. Prompts whose prefill takes a small fraction of the route's latency target
 * go first: a short prompt hardly delays a long one, but a long one delays many short ones.
 * Stateless.
 */
final class PrefillPriority {
    /** Upper bound of the first class: prefill time as a fraction of the latency target. */
    private static final double SHORT_PREFILL_FRACTION = 0.15;

    /** Upper bound of the second class: prefill time as a fraction of the latency target. */
    private static final double MEDIUM_PREFILL_FRACTION = 0.4;

    /** Number of prefill classes, and so of priorities for each tenant priority. */
    private static final int PREFILL_CLASSES = 3;

    /** The lowest priority that upstreams accept. */
    private static final int LAST_PRIORITY = 9;

    private PrefillPriority() {}

    /**
     * The priority of a request, from 0 (first) to 9 (last).
     *
     * @param tenant null on routes that do not require a tenant
     * @param prefillMs expected prefill time of the prompt
     */
    static int of(Route route, Tenant tenant, double prefillMs) {
        int tenantPriority = tenant == null ? 0 : tenant.priority() * PREFILL_CLASSES;
        return Math.min(LAST_PRIORITY, tenantPriority + prefillClass(route, prefillMs));
    }

    /** The prefill class of a prompt, from 0 (first) to 2 (last). */
    static int prefillClass(Route route, double prefillMs) {
        double fraction = prefillMs / Math.max(1, route.targetLatencyMs());
        if (fraction <= SHORT_PREFILL_FRACTION) {
            return 0;
        }
        return fraction <= MEDIUM_PREFILL_FRACTION ? 1 : 2;
    }
}
