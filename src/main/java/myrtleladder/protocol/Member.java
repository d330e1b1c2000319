package myrtleladder.protocol;

/**
 * A control node with its addresses and the identity of its store. Two members are equal if their
 * stores are: a node that loses its disk comes back with another store, and so as another member,
 * which has no vote until a view admits it.
 */
public final class Member {
    /** Host and port of the internal protocol. */
    public String address = "";

    /** Host and port of the control interface, for operators and upstreams. */
    public String controlAddress = "";

    /** Identity of the store, drawn when the store was created. */
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
