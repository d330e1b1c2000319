package myrtleladder.gossip;

/**
 * State of a member in SWIM. The order of declaration decides between updates on one incarnation:
 * the later state supersedes. Names are part of the datagram format.
 */
public enum MemberState {
    /** It answers probes. */
    ALIVE,
    /** It did not answer a probe, and may still refute the suspicion. */
    SUSPECT,
    /** It did not refute the suspicion in time. */
    DEAD,
    /** It announced that it leaves. */
    LEFT;

    /** Whether it counts as a member: a suspect does until it is declared dead. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT;
    }
}
