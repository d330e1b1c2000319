package myrtleladder.dataplane;

/**
 * An upstream picked or considered for a request, with what the request would meet there.
 *
 * @param upstream the upstream
 * @param promptTokens tokens of the prompt that the upstream has to read since they are not cached
 * @param expectedMs expected time to the first event
 * @param explainedMs the part of {@code expectedMs} that known requests and the prompt explain
 * @param costMs {@code expectedMs} with what the request costs others; picks go by the least
 * @param withoutBacklog whether no other prompt is known to be read there
 */
record PickResult(
        Upstream upstream,
        int promptTokens,
        double expectedMs,
        double explainedMs,
        double costMs,
        boolean withoutBacklog) {}
