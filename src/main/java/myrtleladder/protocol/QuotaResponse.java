package myrtleladder.protocol;

/** The response to a {@link QuotaRequest}. */
public final class QuotaResponse implements Message {
    /** Whether the responding node is primary; if not, nothing else is set. */
    public boolean fromPrimary;

    /** Units granted: at least those requested, or none. */
    public double grantedUnits;

    /** Without a grant, the time until there may be one, in milliseconds. */
    public long waitMs;

    /** Load of the other balancers, null if it is not known. */
    public FleetLoads fleetLoads;

    /** Epoch of the responding primary; null from a process that does not report it. */
    public Long epoch;

    /** Creates a message with these fields. */
    public static QuotaResponse of(boolean fromPrimary, double grantedUnits, long waitMs) {
        QuotaResponse message = new QuotaResponse();
        message.fromPrimary = fromPrimary;
        message.grantedUnits = grantedUnits;
        message.waitMs = waitMs;
        return message;
    }
}
