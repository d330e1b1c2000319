package myrtleladder.protocol;

/** Requests that a balancer has under way at an upstream that leaves. */
public final class InFlightRequests {
    /** The upstream's incarnation. */
    public String instanceId = "";

    /** How many. */
    public int requests;

    /** Creates a message from its parts. */
    public static InFlightRequests of(String instanceId, int requests) {
        InFlightRequests made = new InFlightRequests();
        made.instanceId = instanceId;
        made.requests = requests;
        return made;
    }
}
