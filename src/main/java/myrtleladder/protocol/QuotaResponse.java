package myrtleladder.protocol;

/** The answer to a {@link QuotaRequest}. */
public final class QuotaResponse implements Message {
    /** Whether the answering node is primary. */
    public boolean fromPrimary;

    /** Units granted, at least those asked for or none. */
    public double grantedUnits;

    /** Without a grant, milliseconds until there may be one. */
    public long waitMs;

    /** What the other balancers have under way, null if that is not known. */
    public FleetLoads fleetLoads;

    /** Creates a message from its parts. */
    public static QuotaResponse of(boolean fromPrimary, double grantedUnits, long waitMs) {
        QuotaResponse message = new QuotaResponse();
        message.fromPrimary = fromPrimary;
        message.grantedUnits = grantedUnits;
        message.waitMs = waitMs;
        return message;
    }
}
