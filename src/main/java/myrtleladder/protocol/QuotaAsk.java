package myrtleladder.protocol;

/** A balancer asks the primary for units of a tenant's quota. */
public final class QuotaAsk implements Message {
    /** The tenant. */
    public String tenant = "";

    /** Units that a request counts. */
    public double units;

    /** What the balancer has under way, null if it does not say. */
    public LoadReport load;

    /** Creates a message from its parts. */
    public static QuotaAsk of(String tenant, double units) {
        QuotaAsk message = new QuotaAsk();
        message.tenant = tenant;
        message.units = units;
        return message;
    }
}
