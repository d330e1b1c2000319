/**
 * Tallies: named grow-only counters that every control node accepts additions to and that merge
 * after partitions. Without I/O: {@link myrtleladder.replication.Peers} sends requests, {@link
 * myrtleladder.tally.TallyStorage} keeps the additions and {@link myrtleladder.scheduler.Scheduler}
 * has the time.
 *
 * <p>All classes are confined to one event loop.
 */
package myrtleladder.tally;
