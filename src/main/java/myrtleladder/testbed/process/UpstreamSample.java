package myrtleladder.testbed.process;

/**
 * What an upstream has done so far.
 *
 * @param at microseconds of the run
 * @param spent time of its cores given to requests in this life, in microseconds
 */
public record UpstreamSample(long at, String upstream, double spent) {}
