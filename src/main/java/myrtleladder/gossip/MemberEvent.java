package myrtleladder.gossip;

/**
 * A change in this process's view of a member, for the log and for what is built on the membership.
 *
 * @param kind what has changed
 * @param update what is now known of the member
 * @param reason for operators
 */
public record MemberEvent(Kind kind, MemberUpdate update, String reason) {
    /** What has changed; operators see the names in the log. */
    public enum Kind {
        /** A new member was found. */
        JOINED,
        /** A member is there again, as another process with the same name. */
        RESTARTED,
        /** A member did not answer a probe. */
        SUSPECTED,
        /** A member that was suspect or dead has refuted that. */
        REFUTED,
        /** A suspected member was declared dead. */
        DIED,
        /** A member announced that it leaves. */
        LEFT,
        /** Another live process has the name of this one, or of a member. */
        RIVAL,
        /** The conflict over a name is over. */
        RIVAL_GONE,
        /** This process was not scheduled for a while, so it does not judge others. */
        STARVED,
        /** This process was suspect or dead for others, and has refuted that. */
        CONTRADICTED
    }
}
