package myrtleladder.consensus;

/**
 * A change in a node's role or view, for the operators' log.
 *
 * @param view the view that is committed as far as this node knows
 * @param reason for people
 */
public record ConsensusEvent(Kind kind, View view, String reason) {
    /** What has changed; operators see these names. */
    public enum Kind {
        /** This node became the leader. */
        LEADS,
        /** This node is no longer the leader. */
        LEADS_NO_MORE,
        /** The cluster was bootstrapped anew: what was committed before and is unknown is lost. */
        FOUNDED,
        /** A view was committed. */
        VIEW,
        /** A snapshot replaced this node's state. */
        RESTORED,
        /** No leader with a quorum was heard for long: nothing can be committed here. */
        CUT_OFF,
        /** Contact to a leader with a quorum is back. */
        JOINED
    }
}
