package myrtleladder.gossip;

import java.util.HashSet;
import java.util.Set;

/**
 * One suspicion and how long it lasts (Lifeguard, section IV-B): long while few have it, since
 * whoever has it alone may be at fault himself; down to its least as others come to it
 * independently.
 */
final class Suspicion {
    private final long life;
    private final long incarnation;
    private final long least;
    private final long most;
    private final int wanted;
    private final Set<String> others = new HashSet<>();
    private long begun;
    private boolean checked;

    Suspicion(Claim claim, long now, long least, long most, int wanted) {
        this.life = claim.life();
        this.incarnation = claim.incarnation();
        this.begun = now;
        this.least = least;
        this.most = most;
        this.wanted = wanted;
    }

    /** Whether it is the suspicion of this claim's life and incarnation. */
    boolean isOf(Claim claim) {
        return life == claim.life() && incarnation == claim.incarnation();
    }

    /** Whether that one is a new and wanted confirmation. */
    boolean confirm(String by) {
        return others.size() < wanted && others.add(by);
    }

    /** Whether its subject was asked a last time since it began. */
    boolean checked() {
        return checked;
    }

    void check() {
        checked = true;
    }

    /** Its subject was heard of: it begins anew, until what the subject says of itself arrives. */
    void beginAnew(long now) {
        begun = now;
        checked = false;
    }

    /** This process stood still for so long: the other one had no chance to be heard meanwhile. */
    void extend(long by) {
        begun += by;
    }

    long ends() {
        double shorter = wanted == 0 ? 1 : Math.log(others.size() + 1) / Math.log(wanted + 1);
        return begun + Math.max(least, (long) (most - (most - least) * shorter));
    }
}
