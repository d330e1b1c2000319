package myrtleladder.protocol;

/** A heartbeat of a process to one of its monitors. */
public final class BalancerHeartbeat implements Message {
    /** The process. */
    public String balancer = "";

    /** Creates a message from its parts. */
    public static BalancerHeartbeat of(String balancer) {
        BalancerHeartbeat message = new BalancerHeartbeat();
        message.balancer = balancer;
        return message;
    }
}
