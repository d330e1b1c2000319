package myrtleladder.protocol;

/**
 * Sent by a balancer to the two balancers that follow it on the ring of hashed names. The receiver
 * notes the time and reports the sender as alive with its next {@link PollRequest}.
 */
public final class BalancerHeartbeat implements Message {
    /** Name of the sending balancer. */
    public String balancer = "";

    /** Creates a message with these fields. */
    public static BalancerHeartbeat of(String balancer) {
        BalancerHeartbeat message = new BalancerHeartbeat();
        message.balancer = balancer;
        return message;
    }
}
