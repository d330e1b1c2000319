package myrtleladder.loadbalancer.policy;

/** A load report; a value that the upstream does not report is NaN. Times are microseconds. */
public record LoadReport(
        double utilisation,
        double active,
        double waiting,
        double serviceTime,
        double servedPerSecond,
        double errorsPerSecond) {}
