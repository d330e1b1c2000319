package myrtleladder.dataplane;

import myrtleladder.configuration.Route;

/**
 * The rank of a request among those of tenants of one priority, as it is told to a model upstream:
 * what takes little of its objective goes first. A short prompt hardly delays a long one, a long
 * one makes many short ones late.
 */
final class PrefillPriority {
    /** Parts of the objective that reading may take in the first and in the second rank. */
    private static final double SHORT = 0.15;

    private static final double MEDIUM = 0.4;

    private PrefillPriority() {}

    /** From 0, which goes first, to 2. */
    static int rank(Route route, double readingMs) {
        double part = readingMs / Math.max(1, route.targetLatencyMs());
        return part <= SHORT ? 0 : part <= MEDIUM ? 1 : 2;
    }
}
