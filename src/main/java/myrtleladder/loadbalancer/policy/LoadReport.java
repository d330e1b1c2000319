package myrtleladder.loadbalancer.policy;

/**
 * A load report of an upstream; a value that it does not report is NaN.
 *
 * @param utilisation fraction of its capacity in use, nominally 0 to 1
 * @param active requests being processed
 * @param waiting requests queued at the upstream
 * @param serviceTimeUs recent service time of a request, microseconds
 * @param servedPerSecond responses without an error
 * @param errorsPerSecond responses with an error
 */
public record LoadReport(
        double utilisation,
        double active,
        double waiting,
        double serviceTimeUs,
        double servedPerSecond,
        double errorsPerSecond) {}
