package myrtleladder.gossip;

import java.util.Optional;

/**
 * SWIM's failure detector (section 3.1): probes one member in each protocol period, directly and,
 * if it does not answer in time, by way of others. Times are in microseconds.
 */
final class FailureDetector {
    /** How much worse an unanswered probe makes the local health (Lifeguard, section IV-A). */
    private static final int FAILED_PROBE_PENALTY = 1;

    /** The same if the members that were asked to probe have not answered either. */
    private static final int MISSED_NACK_PENALTY = 2;

    private final GossipSettings settings;
    private final MemberTable table;
    private final PeerSelector peers;
    private final Prober prober;
    private final ProtocolTimers timers;
    private final LocalHealth health;

    /** The probe of this period, null if there is none. */
    private Probe probe;

    private static final class Probe {
        final String target;
        final long sequenceNumber;
        boolean isAcked;
        int indirectProbes;
        int nacks;

        Probe(String target, long sequenceNumber) {
            this.target = target;
            this.sequenceNumber = sequenceNumber;
        }

        boolean hasMissedNacks() {
            return indirectProbes > 0 && nacks == 0;
        }
    }

    FailureDetector(
            GossipSettings settings,
            MemberTable table,
            PeerSelector peers,
            Prober prober,
            ProtocolTimers timers,
            LocalHealth health) {
        this.settings = settings;
        this.table = table;
        this.peers = peers;
        this.prober = prober;
        this.timers = timers;
        this.health = health;
    }

    /** Starts the probe of a period. */
    void startProbe(long nowUs) {
        MemberUpdate target = peers.nextToProbe();
        if (target == null) {
            return;
        }
        long sequenceNumber = prober.ping(target);
        probe = new Probe(target.name(), sequenceNumber);
        timers.schedule(
                nowUs,
                ProtocolTimers.ACK_TIMEOUT + sequenceNumber,
                health.scaleUs(settings.ackTimeoutUs()));
    }

    /** Ends the probe of a period; returns the name of its target if that did not answer. */
    Optional<String> finishProbe() {
        Probe finished = probe;
        probe = null;
        if (finished == null) {
            return Optional.empty();
        }
        if (finished.isAcked) {
            health.improve();
            return Optional.empty();
        }
        health.degrade(finished.hasMissedNacks() ? MISSED_NACK_PENALTY : FAILED_PROBE_PENALTY);
        return Optional.of(finished.target);
    }

    /** Drops the probe: after a stall, a missing answer means nothing. */
    void abandonProbe() {
        probe = null;
    }

    /** A direct probe was not answered in time: repeats it, and asks others. */
    void onAckTimeout(long sequenceNumber) {
        if (!isCurrent(sequenceNumber) || probe.isAcked) {
            return;
        }
        MemberUpdate target = table.get(probe.target);
        if (target == null) {
            return;
        }
        prober.pingAgain(target, sequenceNumber);
        probe.indirectProbes = prober.requestIndirectProbes(target, sequenceNumber);
    }

    void onAck(long sequenceNumber) {
        if (isCurrent(sequenceNumber)) {
            probe.isAcked = true;
        }
    }

    void onNack(long sequenceNumber) {
        if (isCurrent(sequenceNumber)) {
            probe.nacks++;
        }
    }

    private boolean isCurrent(long sequenceNumber) {
        return probe != null && probe.sequenceNumber == sequenceNumber;
    }
}
