package myrtleladder.loadbalancer.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Maps packages to the subsystem names used in log lines and the key {@code log.levels}. Operators
 * filter by these names, so they stay the same when a package is renamed.
 */
final class Subsystems {
    private static final String ROOT = "myrtleladder.";

    /** Package name relative to {@link #ROOT}, by the name of the subsystem. */
    private static final Map<String, String> PACKAGES =
            Map.ofEntries(
                    Map.entry("decisions", "loadbalancer.policy"),
                    Map.entry("node", "loadbalancer.server"),
                    Map.entry("adapter", "loadbalancer.simulator"),
                    Map.entry("settings", "loadbalancer.settings"),
                    Map.entry("command", "loadbalancer.admin"),
                    Map.entry("fleet.member", "gossip"),
                    Map.entry("fleet.agree", "consensus"),
                    Map.entry("fleet.work", "maintenance"),
                    Map.entry("fleet.carrier", "cluster"),
                    Map.entry("lab", "testbed"),
                    Map.entry("lab.check", "testbed.checker"),
                    Map.entry("lab.experiment", "testbed.experiment"),
                    Map.entry("lab.fault", "testbed.fault"),
                    Map.entry("lab.play", "testbed.process"),
                    Map.entry("lab.relay", "testbed.proxy"),
                    Map.entry("lab.stand", "testbed.fake"),
                    Map.entry("lab.virtual", "testbed.simulation"));

    private Subsystems() {}

    /**
     * Returns the subsystem of a logger, by its package; the full name of the logger if it belongs
     * to a library.
     */
    static String forLogger(String logger) {
        if (logger == null || !logger.startsWith(ROOT)) {
            return String.valueOf(logger);
        }
        int end = Math.max(ROOT.length(), logger.lastIndexOf('.'));
        String name = logger.substring(ROOT.length(), end);
        for (Map.Entry<String, String> entry : PACKAGES.entrySet()) {
            if (entry.getValue().equals(name)) {
                return entry.getKey();
            }
        }
        return name;
    }

    /** Returns the loggers of a subsystem and its children; also accepts the name of a package. */
    static List<String> loggers(String subsystem) {
        List<String> loggers = new ArrayList<>();
        PACKAGES.forEach(
                (name, packageName) -> {
                    if (name.equals(subsystem) || name.startsWith(subsystem + ".")) {
                        loggers.add(ROOT + packageName);
                    }
                });
        return loggers.isEmpty() ? List.of(ROOT + subsystem) : loggers;
    }
}
