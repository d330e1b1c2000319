package yewyoke.message;

/** What a balancer's clients ask for a tenant, in units of its quota for each second. */
public final class TenantDemand {
    /** The tenant. */
    public String tenant = "";
    /** Units a second. */
    public double perSecond;

    /** Creates a value from its parts. */
    public static TenantDemand of(String tenant, double perSecond) {
        TenantDemand demand = new TenantDemand();
        demand.tenant = tenant;
        demand.perSecond = perSecond;
        return demand;
    }
}
