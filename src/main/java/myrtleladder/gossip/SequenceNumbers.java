package myrtleladder.gossip;

import java.util.Random;

/**
 * Sequence numbers of probes. They begin at a random number, so that a late answer to an earlier
 * start of this process matches none of its probes.
 */
final class SequenceNumbers {
    private long last;

    SequenceNumbers(Random random) {
        last = random.nextInt(Integer.MAX_VALUE);
    }

    long next() {
        return ++last;
    }
}
