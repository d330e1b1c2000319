package myrtleladder.protocol;

/** A balancer with the address at which others of the fleet reach it. */
public final class BalancerAddress {
    /** Its name. */
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
