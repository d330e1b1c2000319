package myrtleladder.loadbalancer.policy;

/**
 * A load report of an upstream; a value that it does not report is NaN.
 *
 * @param utilisation share of its capacity in use, nominally 0 to 1
 * @param active requests that it works on
 * @param waiting requests that wait there
 * @param serviceTimeUs recent service time of a request
 * @param servedPerSecond answers without an error
 * @param errorsPerSecond answers with an error
 */
public record LoadReport(
        double utilisation,
        double active,
        double waiting,
        double serviceTimeUs,
        double servedPerSecond,
        double errorsPerSecond) {}
