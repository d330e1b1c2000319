package myrtleladder.gossip;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * All suspicions and their timeouts. Before a suspect is declared dead it is probed a last time,
 * directly and by others; an answer begins the timeout anew. Times are in microseconds.
 */
final class SuspicionTracker {
    /** Members that can't confirm a suspicion: the suspect and the one that reported it. */
    private static final int MEMBERS_INVOLVED = 2;

    private final GossipSettings settings;
    private final MemberTable table;
    private final Prober prober;
    private final ProtocolTimers timers;
    private final LocalHealth health;
    private final Map<String, Suspicion> suspicions = new HashMap<>();

    /** Names of the suspects, by the sequence numbers of their final probes. */
    private final Map<Long, String> finalProbes = new LinkedHashMap<>();

    SuspicionTracker(
            GossipSettings settings,
            MemberTable table,
            Prober prober,
            ProtocolTimers timers,
            LocalHealth health) {
        this.settings = settings;
        this.table = table;
        this.prober = prober;
        this.timers = timers;
        this.health = health;
    }

    /** Starts the suspicion of a member that the table has as suspect. */
    void start(long nowUs, MemberUpdate suspect) {
        int presentCount = table.presentCount();
        long minTimeoutUs = settings.minSuspicionUs(presentCount);
        int possibleConfirmations = Math.max(0, presentCount - MEMBERS_INVOLVED);
        Suspicion suspicion =
                new Suspicion(
                        suspect,
                        nowUs,
                        minTimeoutUs,
                        settings.maxSuspicionUs(minTimeoutUs),
                        Math.min(settings.suspicionConfirmations(), possibleConfirmations));
        suspicions.put(suspect.name(), suspicion);
        scheduleTimeout(nowUs, suspect.name(), suspicion);
    }

    /** Ends the suspicion of a member, if there is one. */
    void stop(String member) {
        suspicions.remove(member);
        finalProbes.values().removeIf(member::equals);
    }

    /**
     * Notes that another member reported a suspicion too.
     *
     * @return whether that is an independent confirmation, which shortens the timeout
     */
    boolean confirm(long nowUs, MemberUpdate update) {
        Suspicion suspicion = suspicions.get(update.name());
        if (suspicion == null
                || !suspicion.isAbout(update)
                || update.reportedBy().equals(table.get(update.name()).reportedBy())
                || !suspicion.confirm(update.reportedBy())) {
            return false;
        }
        long delayUs = Math.max(0, suspicion.deadlineUs() - nowUs);
        timers.schedule(nowUs, ProtocolTimers.SUSPICION_TIMEOUT + update.name(), delayUs);
        return true;
    }

    /** A probe was answered: if it was a final one, the suspect lives and may yet refute. */
    void onAck(long nowUs, long sequenceNumber) {
        String suspect = finalProbes.remove(sequenceNumber);
        Suspicion suspicion = suspect == null ? null : suspicions.get(suspect);
        if (suspicion != null) {
            suspicion.restart(nowUs);
            scheduleTimeout(nowUs, suspect, suspicion);
        }
    }

    /** Extends all timeouts by a time in which this process was stalled. */
    void onStall(long durationUs) {
        suspicions.values().forEach(suspicion -> suspicion.extend(durationUs));
    }

    /** A timeout may have ended; returns whether the suspect has to be declared dead. */
    boolean onTimeout(long nowUs, String member) {
        Suspicion suspicion = suspicions.get(member);
        if (suspicion == null) {
            return false;
        }
        if (suspicion.deadlineUs() > nowUs) {
            scheduleTimeout(nowUs, member, suspicion);
            return false;
        }
        if (suspicion.isFinalProbeSent()) {
            return true;
        }
        sendFinalProbe(nowUs, member, suspicion);
        return false;
    }

    private void sendFinalProbe(long nowUs, String member, Suspicion suspicion) {
        suspicion.finalProbeSent();
        MemberUpdate suspect = table.get(member);
        long sequenceNumber = prober.ping(suspect);
        finalProbes.put(sequenceNumber, member);
        prober.requestIndirectProbes(suspect, sequenceNumber);
        timers.schedule(
                nowUs,
                ProtocolTimers.SUSPICION_TIMEOUT + member,
                health.scaleUs(settings.protocolPeriodUs()));
    }

    private void scheduleTimeout(long nowUs, String member, Suspicion suspicion) {
        timers.schedule(
                nowUs, ProtocolTimers.SUSPICION_TIMEOUT + member, suspicion.deadlineUs() - nowUs);
    }
}
