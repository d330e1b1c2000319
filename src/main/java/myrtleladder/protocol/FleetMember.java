package myrtleladder.protocol;

/** A balancer with the address at which others of the fleet reach it. */
public final class FleetMember {
    /** Its name. */
    public String name = "";

    /** Host and port of the internal protocol. */
    public String address = "";

    /** Creates a member from its parts. */
    public static FleetMember of(String name, String address) {
        FleetMember member = new FleetMember();
        member.name = name;
        member.address = address;
        return member;
    }
}
