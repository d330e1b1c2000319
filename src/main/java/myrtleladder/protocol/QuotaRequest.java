package myrtleladder.protocol;

/**
 * Sent by a balancer to the primary, to get units of the quota of a tenant for a request. Answered
 * by {@link QuotaResponse}.
 */
public final class QuotaRequest implements Message {
    /** Name of the tenant. */
    public String tenant = "";

    /** Units that the request counts: requests or tokens, as the tenant is configured. */
    public double units;

    /** Load of the balancer, null if it does not report it. */
    public LoadReport loadReport;

    /** True if a node that is not primary is to pass the request on; null otherwise. */
    public Boolean relayWanted;

    /** Units used without the primary and not reported before, null if there are none. */
    public Double fallbackUnits;

    /** Epoch of the primary that had responded last when they were used; null without units. */
    public Long fallbackEpoch;

    /** Creates a message with these fields. */
    public static QuotaRequest of(String tenant, double units) {
        QuotaRequest message = new QuotaRequest();
        message.tenant = tenant;
        message.units = units;
        return message;
    }
}
