package myrtleladder.loadbalancer.server;

import java.util.Arrays;
import myrtleladder.loadbalancer.policy.LoadReport;
import myrtleladder.loadbalancer.policy.LoadReportSource;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * Parses the load reports of upstreams, {@code name=value,name=value}, from the header field {@code
 * X-Backend-Load} or the body of a probe's response.
 *
 * <p>Confined to the event loop.
 */
final class LoadReportParser {
    private static final System.Logger LOG = System.getLogger(LoadReportParser.class.getName());

    private final boolean areReportsExpected;
    private boolean isBadReportLogged;

    LoadReportParser(LoadReportSource reports) {
        this.areReportsExpected = reports != LoadReportSource.NONE;
    }

    /**
     * Returns the report, or null if there is none, none is expected, or it is malformed. The first
     * malformed report is logged. Values have the names used in the settings (such as {@code cpu});
     * other names are skipped.
     *
     * @param text the report, or null
     */
    LoadReport parse(String text) {
        if (text == null || text.isBlank() || !areReportsExpected) {
            return null;
        }
        double[] values = new double[SettingsReader.LOAD_REPORT_FIELDS.size()];
        Arrays.fill(values, Double.NaN);
        boolean isParsed = parseInto(values, text);
        if (!isParsed && !isBadReportLogged) {
            isBadReportLogged = true;
            LOG.log(System.Logger.Level.WARNING, "ignored a malformed load report: " + text);
        }
        return isParsed ? SettingsReader.toLoadReport(values) : null;
    }

    /** Returns whether at least one known value was found and none was malformed. */
    private static boolean parseInto(double[] values, String text) {
        boolean hasValue = false;
        try {
            for (String field : text.trim().split(",")) {
                int equals = field.indexOf('=');
                String name = field.substring(0, Math.max(0, equals)).trim();
                int index = SettingsReader.LOAD_REPORT_FIELDS.indexOf(name);
                if (index >= 0) {
                    values[index] = Double.parseDouble(field.substring(equals + 1));
                    hasValue = true;
                }
            }
        } catch (NumberFormatException e) {
            return false;
        }
        return hasValue;
    }
}
