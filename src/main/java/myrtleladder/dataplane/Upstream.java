package myrtleladder.dataplane;

import java.util.HashSet;
import java.util.Set;
import myrtleladder.configuration.Service;
import myrtleladder.loadbalancer.policy.WeightedSchedule;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.UpstreamLoad;

/**
 * An incarnation of an upstream as this balancer sees it: what is under way there and how it does.
 */
final class Upstream extends WeightedSchedule.Candidate {
    private static final long REPORT_FRESH = 3_000;
    private static final long FIRST_EJECTION = 700;
    private static final long LONGEST_EJECTION = 6_000;
    private static final double SMOOTH = 0.2;
    private static final double DELAY_HALF_LIFE = 800;
    private static final double BACKLOG_FULL_MS = 1_000;

    private InstanceRecord record;
    private final int key;
    private long hash;
    private final Set<Attempt> attempts = new HashSet<>();
    private PrefixMemory memory = new PrefixMemory(0);
    private boolean hasEngine;
    private int others;
    private int reportedWaiting;
    private long reportedAt = Long.MIN_VALUE / 2;
    private double errors;
    private double took;
    private double extraDelay;
    private long extraDelayAt;
    private long lastByteAt;
    private long ejectedUntil;
    private long ejection = FIRST_EJECTION;
    private int failuresInRow;
    private double inFlightNow;
    private int sharedRequests;
    private int sharedTokens;
    private long sharedAt = Long.MIN_VALUE / 2;

    Upstream(InstanceRecord record) {
        this.record = record;
        this.hash = hashOf(record);
        this.key = UpstreamLoad.keyOf(record.id);
    }

    /** The same for all incarnations that took over an ordinal one after the other. */
    private static long hashOf(InstanceRecord record) {
        boolean unassigned = record.ordinal == InstanceRecord.UNASSIGNED_ORDINAL;
        return Hashes.of(unassigned ? record.id : record.service + "#" + record.ordinal);
    }

    /** Whether subjects can have their home here. */
    boolean isHome() {
        return record.ordinal != InstanceRecord.UNASSIGNED_ORDINAL;
    }

    InstanceRecord record() {
        return record;
    }

    void update(InstanceRecord next) {
        record = next;
        hash = hashOf(next);
    }

    void engine(Service.Engine engine) {
        if (engine != null) {
            memory = new PrefixMemory(engine.kvTokens());
            hasEngine = true;
        }
    }

    boolean hasEngine() {
        return hasEngine;
    }

    PrefixMemory memory() {
        return memory;
    }

    boolean ready() {
        return record.stage == InstanceRecord.Stage.READY;
    }

    int capacity() {
        return Math.max(1, record.capacity);
    }

    /** Rendezvous rank of this upstream for a subject. */
    long rank(long subject) {
        return Hashes.mix(hash ^ subject);
    }

    // ---- What is under way
    // ---------------------------------------------------------------------------

    void begins(Attempt attempt, long now) {
        if (attempts.isEmpty()) {
            lastByteAt = now;
        }
        attempts.add(attempt);
    }

    void ends(Attempt attempt) {
        attempts.remove(attempt);
    }

    Set<Attempt> attempts() {
        return attempts;
    }

    int own() {
        return attempts.size();
    }

    /** What others have there, by the newer of the upstream's own word and the balancers' sums. */
    double others(long now) {
        if (sharedAt >= reportedAt) {
            return sharedRequests * sharedPart(now);
        }
        long age = now - reportedAt;
        return age > REPORT_FRESH ? 0 : others * (1 - age / (2.0 * REPORT_FRESH));
    }

    /** Prompt tokens of other balancers whose answers have not begun. */
    double othersTokens(long now) {
        return sharedTokens * sharedPart(now);
    }

    /** Sums count less the older they are, and nothing once they are old. */
    private double sharedPart(long now) {
        return Math.max(0, 1 - (now - sharedAt) / (double) FleetKnowledge.FRESH);
    }

    /** The other balancers have this under way here. */
    void sharedLoad(int requests, int tokens, long now) {
        sharedRequests = requests;
        sharedTokens = tokens;
        sharedAt = now;
    }

    /** The number by which the balancers name this incarnation to each other. */
    int key() {
        return key;
    }

    void refresh(long now) {
        inFlightNow = own() + others(now);
    }

    @Override
    public double inFlight() {
        return inFlightNow;
    }

    /** Prompt tokens of ours that were sent there and whose answers have not begun. */
    long backlogTokens() {
        long sum = 0;
        for (Attempt attempt : attempts) {
            sum += attempt.pendingTokens();
        }
        return sum;
    }

    // ---- What is observed
    // ----------------------------------------------------------------------------

    /** The load that the upstream told in an answer: running, waiting, slots. */
    void reported(String load, long now) {
        if (load == null) {
            return;
        }
        String[] parts = load.split(",");
        try {
            int running = Integer.parseInt(parts[0].trim());
            reportedWaiting = parts.length > 1 ? Integer.parseInt(parts[1].trim()) : 0;
            others = Math.max(0, running + reportedWaiting - own());
            reportedAt = now;
        } catch (NumberFormatException e) {
            reportedAt = Long.MIN_VALUE / 2;
        }
    }

    void byteArrived(long now) {
        lastByteAt = now;
    }

    long lastByteAt() {
        return lastByteAt;
    }

    void succeeded(long tookMs) {
        errors *= 1 - SMOOTH;
        took = took == 0 ? tookMs : took + SMOOTH * (tookMs - took);
        ejection = FIRST_EJECTION;
        ejectedUntil = 0;
        failuresInRow = 0;
    }

    /** The first event came later than the work that is known of explains. */
    void delayed(double extraMs, long now) {
        double current = extraDelay(now);
        extraDelay = Math.max(0, current + 2 * SMOOTH * (extraMs - current));
        extraDelayAt = now;
    }

    double extraDelay(long now) {
        return extraDelay * Math.pow(0.5, (now - extraDelayAt) / DELAY_HALF_LIFE);
    }

    void failed(long now, boolean dead) {
        errors += SMOOTH * (1 - errors);
        failuresInRow++;
        if (dead || errors > 0.5 || failuresInRow >= 3) {
            eject(now);
        }
    }

    void eject(long now) {
        if (ejectedUntil <= now) {
            ejectedUntil = now + ejection;
            ejection = Math.min(LONGEST_EJECTION, ejection * 2);
            memory.clear();
        }
    }

    /** Until this time requests go elsewhere; behind it one is tried before the others follow. */
    boolean ejected(long now) {
        return ejectedUntil > now || ejection > FIRST_EJECTION && own() > 0;
    }

    double errors() {
        return errors;
    }

    double took() {
        return took;
    }

    int waiting(long now) {
        return now - reportedAt > REPORT_FRESH ? 0 : reportedWaiting;
    }

    /**
     * Derives the utilisation from reports, own requests, timings and errors; NaN without any of
     * them.
     */
    void derive(long now, double msPerToken) {
        refresh(now);
        boolean told = now - reportedAt <= REPORT_FRESH || now - sharedAt <= FleetKnowledge.FRESH;
        boolean fresh = told || own() > 0;
        if (!fresh) {
            utilisation = Double.NaN;
            return;
        }
        double places = Math.min(1, inFlight() / capacity());
        double backlog =
                Math.min(
                        1,
                        ((backlogTokens() + othersTokens(now)) * msPerToken + extraDelay(now))
                                / BACKLOG_FULL_MS);
        utilisation = Math.min(1, Math.max(places, backlog) + errors);
    }
}
