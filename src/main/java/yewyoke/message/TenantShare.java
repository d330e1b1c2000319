package yewyoke.message;

/** The part of a tenant's quota that a balancer may use until it hears otherwise. */
public final class TenantShare {
    /** The tenant. */
    public String tenant = "";
    /** The part, 0 to 1. */
    public double share;

    /** Creates a value from its parts. */
    public static TenantShare of(String tenant, double share) {
        TenantShare made = new TenantShare();
        made.tenant = tenant;
        made.share = share;
        return made;
    }
}
