package myrtleladder.gossip;

/** What is said of a member; of two claims on one incarnation the later one of these holds. */
public enum State {
    /** It is there. */
    ALIVE,
    /** It did not answer; it may still say that it is there. */
    SUSPECT,
    /** It did not say so in time. */
    DEAD,
    /** It said that it goes. */
    LEFT;

    /** Whether it counts as a member: a suspect does until the suspicion is borne out. */
    public boolean present() {
        return this == ALIVE || this == SUSPECT;
    }
}
