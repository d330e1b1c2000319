package myrtleladder.protocol;

/** A heartbeat of a process to one of its monitors. */
public final class BalancerHeartbeat implements Message {
    /** The process. */
    public String name = "";

    /** Creates a message from its parts. */
    public static BalancerHeartbeat of(String name) {
        BalancerHeartbeat message = new BalancerHeartbeat();
        message.name = name;
        return message;
    }
}
