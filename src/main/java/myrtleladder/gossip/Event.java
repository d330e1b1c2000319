package myrtleladder.gossip;

/**
 * Something that a process has come to hold of a member, for the log and all that follow the
 * picture.
 */
public record Event(Kind kind, Claim claim, String why) {
    /** What has changed. */
    public enum Kind {
        /** A member is there that was not. */
        JOINED,
        /** A member is there again, as another process under its name. */
        RESTARTED,
        /** A member did not answer. */
        SUSPECTED,
        /** A member that was suspected, or held dead, has said that it is there. */
        REFUTED,
        /** A member did not answer for too long. */
        DIED,
        /** A member said that it goes. */
        LEFT,
        /** Another process lives under the name of this one, or under that of a member. */
        RIVAL,
        /** That is over. */
        RIVAL_GONE,
        /** This process has stood still for a while, so it does not judge others. */
        STARVED,
        /** This process was held suspect or dead, and has contradicted. */
        CONTRADICTED
    }
}
