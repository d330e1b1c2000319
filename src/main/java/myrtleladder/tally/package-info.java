/**
 * Tallies: named grow-only counters. Every control node accepts additions, and the counters are
 * merged after a partition. The package does no I/O: {@link myrtleladder.replication.PeerTransport}
 * sends requests, {@link myrtleladder.tally.TallyStorage} stores the additions and {@link
 * myrtleladder.scheduler.Scheduler} supplies the clock and timers.
 *
 * <p>All classes are confined to one event loop.
 */
package myrtleladder.tally;
