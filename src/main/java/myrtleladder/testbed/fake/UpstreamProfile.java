package myrtleladder.testbed.fake;

import myrtleladder.testbed.checker.Rules;

/**
 * What an upstream's machine can do. Times and work are microseconds; work is the time it takes at
 * speed 1.
 *
 * @param cores requests in work at once
 * @param speed work done in a microsecond by one core
 * @param queue requests that wait for a core; beyond that they are turned away unseen
 * @param connections connections that it holds; beyond that they are refused
 * @param keyMemory so long it remembers a key that it has met
 * @param keyRoom it remembers so many keys at most, the last ones met
 * @param keySaving part of the work that is saved for a key it remembers
 * @param reportPeriod its load report is refreshed so often
 * @param reportDelay and tells of a time so long ago
 * @param errorChance chance that a request which has run is answered with an error
 * @param rules when it is cold, and when it falls over
 */
public record UpstreamProfile(
        int cores,
        double speed,
        int queue,
        int connections,
        long keyMemory,
        int keyRoom,
        double keySaving,
        long reportPeriod,
        long reportDelay,
        double errorChance,
        Rules rules) {

    /** Refuses values that mean nothing, by name. */
    public UpstreamProfile {
        require(cores > 0, "cores");
        require(speed > 0, "speed");
        require(queue >= 0, "queue");
        require(connections > 0, "connections");
        require(keySaving >= 0 && keySaving < 1, "keySaving");
        require(reportPeriod > 0, "reportPeriod");
        require(errorChance >= 0 && errorChance <= 1, "errorChance");
    }

    private static void require(boolean good, String name) {
        if (!good) {
            throw new IllegalArgumentException(name + " of an upstream is out of its range");
        }
    }

    /** Work that it does in a microsecond when warm, on all cores. */
    public double capacity() {
        return cores * speed;
    }
}
