package myrtleladder.dataplane;

/**
 * An upstream picked or considered for a request, with the estimates for the request there.
 *
 * @param upstream the upstream
 * @param promptTokens prompt tokens that the upstream has to process because they are not cached
 * @param expectedMs expected time to the first event
 * @param knownPrefillMs part of {@code expectedMs} due to the base time and the prefill of this and
 *     all known prompts; 0 for services without a model engine
 * @param costMs {@code expectedMs} plus the cost to other requests; the lowest cost is picked
 * @param withoutBacklog whether no other prompt is known to be pending there; always false for
 *     services without a model engine
 */
record PickResult(
        Upstream upstream,
        int promptTokens,
        double expectedMs,
        double knownPrefillMs,
        double costMs,
        boolean withoutBacklog) {}
