package myrtleladder.consensus;

/** Something that operators may want to know of an agreement, for the log. */
public record ConsensusEvent(Kind kind, View view, String why) {
    /** What has changed. */
    public enum Kind {
        /** This life leads. */
        LEADS,
        /** It does so no more. */
        LEADS_NO_MORE,
        /** The fleet has begun anew: what was decided before and is not known here is lost. */
        FOUNDED,
        /** There is another view. */
        VIEW,
        /** What this life had is replaced by a snapshot. */
        RESTORED,
        /** Nobody with a majority was heard for long: nothing can be decided here. */
        CUT_OFF,
        /** That is over. */
        JOINED
    }
}
