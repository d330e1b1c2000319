package myrtleladder.loadbalancer.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Names of the subsystems as log lines and the key {@code log.levels} have them. They are part of
 * what operators filter by, so they stay when a package is renamed.
 */
final class Subsystems {
    private static final String ROOT = "myrtleladder.";

    /** Package below the root, by the name of the subsystem. */
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

    /** The subsystem that a logger belongs to; the whole name for a logger of a library. */
    static String of(String logger) {
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

    /** The loggers of a subsystem and of those below it; a package's own name is taken as well. */
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
