package myrtleladder.protocol;

/**
 * A control node: where it is reached by the fleet and by callers from outside, and the identity of
 * its store. A node that loses its disk comes back with another store, and so as another member.
 */
public final class Member {
    /** Host and port of the internal protocol. */
    public String address = "";

    /** Host and port of the control interface. */
    public String control = "";

    /** Identity of the store. */
    public String store = "";

    /** Creates a member from its parts. */
    public static Member of(String address, String control, String store) {
        Member member = new Member();
        member.address = address;
        member.control = control;
        member.store = store;
        return member;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Member member && member.store.equals(store);
    }

    @Override
    public int hashCode() {
        return store.hashCode();
    }

    @Override
    public String toString() {
        return address + "/" + store;
    }
}
