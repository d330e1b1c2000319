package myrtleladder.protocol;

/**
 * A control node: where it is reached by the fleet and by callers from outside, and the identity of
 * its store. A node that loses its disk comes back with another store, and so as another member.
 */
public final class Member {
    /** Host and port of the internal protocol. */
    public String address = "";

    /** Host and port of the control interface. */
    public String controlAddress = "";

    /** Identity of the store. */
    public String storeId = "";

    /** Creates a member from its parts. */
    public static Member of(String address, String controlAddress, String storeId) {
        Member member = new Member();
        member.address = address;
        member.controlAddress = controlAddress;
        member.storeId = storeId;
        return member;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Member member && member.storeId.equals(storeId);
    }

    @Override
    public int hashCode() {
        return storeId.hashCode();
    }

    @Override
    public String toString() {
        return address + "/" + storeId;
    }
}
