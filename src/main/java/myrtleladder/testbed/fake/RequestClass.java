package myrtleladder.testbed.fake;

import myrtleladder.testbed.checker.Checker.Repeat;

/**
 * A class of requests. Times and work are microseconds.
 *
 * @param share part of all requests
 * @param work mean work of one
 * @param aim an answer after this earns nothing
 * @param giveUp a client stops waiting after this
 * @param memory upstreams drop a repeat of a keyed one for so long
 */
public record RequestClass(
        String name,
        Repeat repeat,
        double share,
        double work,
        long aim,
        long giveUp,
        double worth,
        long memory) {}
