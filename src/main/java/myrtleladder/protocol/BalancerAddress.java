package myrtleladder.protocol;

/**
 * A balancer with the address of its internal port, as the primary lists it in a {@link
 * PollResponse}.
 */
public final class BalancerAddress {
    /** Name of the balancer. */
    public String name = "";

    /** Host and port of the internal protocol. */
    public String address = "";

    /** Creates a member from its parts. */
    public static BalancerAddress of(String name, String address) {
        BalancerAddress member = new BalancerAddress();
        member.name = name;
        member.address = address;
        return member;
    }
}
