package myrtleladder.dataplane;

import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs the quota units that tenants used at this balancer, at most once in an interval and only if
 * the primary did not answer in time for some of them since the last time. Confined to the event
 * loop.
 */
final class QuotaUsageLog {
    private static final long INTERVAL_MS = 10_000;
    private static final Logger LOG = LogManager.getLogger(QuotaUsageLog.class);

    private final TenantQuotaClient quotas;
    private long nextAtMs;
    private double loggedUnits;

    QuotaUsageLog(TenantQuotaClient quotas) {
        this.quotas = quotas;
    }

    /** Logs the usage if it is due; to be called periodically. */
    void logIfDue(long nowMs) {
        if (nowMs < nextAtMs) {
            return;
        }
        nextAtMs = nowMs + INTERVAL_MS;
        Map<String, QuotaUsage> usageByTenant = quotas.usage();
        double units =
                usageByTenant.values().stream().mapToDouble(QuotaUsage::unitsWithoutPrimary).sum();
        if (units != loggedUnits) {
            loggedUnits = units;
            LOG.info("quota units used: {}", usageByTenant);
        }
    }
}
