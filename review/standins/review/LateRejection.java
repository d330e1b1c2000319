package review;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Late second answers to requests that an upstream has turned away. REFUSED: a request that may run
 * at most once is answered with 503, and it has run.
 */
final class LateRejection {
    /** Share of the answers beside which another one is sent: x of the trouble garble. */
    private static final double EXTRA_SHARE = 0.03;

    /** The trouble lasts 5 s and comes again after a pause. */
    private static final long TROUBLE_MS = 5_000;

    private static final long CYCLE_MS = 6_000;

    /** One of three upstreams is in trouble; the pages allow a share of 0.6. */
    private static final int SPOILT_UPSTREAMS = 1;

    private static final int UPSTREAMS = 3;
    private static final int QUEUE = 2;
    private static final long TRAFFIC_MS = 70_000;

    private LateRejection() {}

    /**
     * Runs the case.
     *
     * @param arguments the root of the repository and the file of the record
     */
    public static void main(String[] arguments) {
        Upstream.Trouble extra =
                new Upstream.Trouble() {
                    @Override
                    public byte[] beforeAnswer(String turnedAwayId, boolean first) {
                        long inCycleMs = System.nanoTime() / 1_000_000 % CYCLE_MS;
                        boolean chosen =
                                inCycleMs < TROUBLE_MS
                                        && ThreadLocalRandom.current().nextDouble() < EXTRA_SHARE;
                        return chosen && !first && turnedAwayId != null
                                ? Upstream.rejection(turnedAwayId, "503 Service Unavailable")
                                : null;
                    }
                };
        Cases.run(
                arguments,
                Traffic.configuration(),
                (fleet, trace) -> {
                    Cases.upstreams(fleet, trace, UPSTREAMS, QUEUE, SPOILT_UPSTREAMS, extra);
                    new Traffic(fleet, trace).run(TRAFFIC_MS);
                    return judge(trace);
                });
    }

    private static int judge(Trace trace) {
        int served = 0;
        int refused = 0;
        int broken = 0;
        for (Trace.Try attempt : trace.tries.values()) {
            int status = attempt.clientStatus;
            served += status == 200 ? 1 : 0;
            boolean promise = status == 429 || status == 503 || status == 408 || status == 421;
            refused += promise ? 1 : 0;
            if (promise && attempt.runs > 0) {
                broken++;
                trace.line("REFUSED broken: " + attempt.id + " was answered with " + status
                        + " and has run");
            }
            if (attempt.runs > 1) {
                trace.line("TWICE broken: " + attempt.id + " has run " + attempt.runs + " times");
                broken++;
            }
        }
        String result =
                trace.tries.size() + " tries, " + served + " served, " + refused
                        + " refused, rule broken " + broken + " times";
        return Cases.result(trace, served, broken, result);
    }
}
