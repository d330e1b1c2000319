package myrtleladder.testbed.fault;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import org.junit.jupiter.api.Test;

/** Faults of links that come and go. */
class LinkFaultsTest {
    /** A link that needs a second for 1,000 bytes. */
    private static final LinkFault SLOW = new LinkFault(false, 0, 0, 0, 0, 1_000);

    @Test
    void healedLinkOfASlowDefaultHasNoBacklogFromItsFault() {
        LinkFaults slowByDefault = new LinkFaults(1, SLOW);
        slowByDefault.arrivalDelaysUs(0, "a", "b", 60_000);
        slowByDefault.heal("a", "b");
        assertArrayEquals(
                new long[] {1_000_000}, slowByDefault.arrivalDelaysUs(10, "a", "b", 1_000));
        slowByDefault.arrivalDelaysUs(10, "a", "b", 60_000);
        slowByDefault.healAll();
        assertArrayEquals(
                new long[] {1_000_000}, slowByDefault.arrivalDelaysUs(20, "a", "b", 1_000));
    }
}
