package myrtleladder.protocol;

/** A balancer asks the primary for units of a tenant's quota. */
public final class QuotaRequest implements Message {
    /** The tenant. */
    public String tenant = "";

    /** Units that a request counts. */
    public double units;

    /** What the balancer has under way, null if it does not say. */
    public LoadReport loadReport;

    /** Creates a message from its parts. */
    public static QuotaRequest of(String tenant, double units) {
        QuotaRequest message = new QuotaRequest();
        message.tenant = tenant;
        message.units = units;
        return message;
    }
}
