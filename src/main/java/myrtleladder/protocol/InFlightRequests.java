package myrtleladder.protocol;

/**
 * Requests that a balancer has in flight at one draining upstream. Part of {@link PollRequest}; the
 * primary adds those of all balancers up.
 */
public final class InFlightRequests {
    /** Id of the incarnation of the upstream. */
    public String instanceId = "";

    /** Number of requests in flight. */
    public int requests;

    /** Creates a message with these fields. */
    public static InFlightRequests of(String instanceId, int requests) {
        InFlightRequests made = new InFlightRequests();
        made.instanceId = instanceId;
        made.requests = requests;
        return made;
    }
}
