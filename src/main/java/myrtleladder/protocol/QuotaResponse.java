package myrtleladder.protocol;

/** The answer to a {@link QuotaRequest}. */
public final class QuotaResponse implements Message {
    /** Whether the answering node is primary. */
    public boolean valid;

    /** Units granted, at least those asked for or none. */
    public double units;

    /** Without a grant, milliseconds until there may be one. */
    public long waitMs;

    /** What the other balancers have under way, null if that is not known. */
    public FleetLoads loads;

    /** Creates a message from its parts. */
    public static QuotaResponse of(boolean valid, double units, long waitMs) {
        QuotaResponse message = new QuotaResponse();
        message.valid = valid;
        message.units = units;
        message.waitMs = waitMs;
        return message;
    }
}
