package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs random valid event sequences and checks the decisions with the independent {@link
 * RuleChecker}.
 */
class RandomEventsTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;

    private record OutstandingAttempt(
            String requestId,
            int attemptIndex,
            String upstreamId,
            long sentAtUs,
            long endsAtUs,
            Outcome outcome) {}

    @ParameterizedTest
    @ValueSource(
            longs = {
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23,
                24
            })
    void decisionsOnRandomValidEventsFollowTheRules(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SettingsBuilder settings = new SettingsBuilder();
        settings.hedging(seed % 2 == 0);
        settings.deduplicationScope(DeduplicationScope.values()[(int) (seed % 3)]);
        settings.keyAffinity(seed % 3 == 0);
        settings.cancellation(seed % 4 != 0);
        settings.groupSize(seed > 12 ? 40 : 1);
        settings.peerMessages(seed > 12 && seed % 2 == 0);
        settings.loadReportSource(
                seed % 2 == 0 ? LoadReportSource.RESPONSES : LoadReportSource.PROBES);
        settings.probePrice(seed > 12 ? 0.001 : 0.01);
        SimulatedHost host = SimulatedHost.of(settings);
        host.checker = new RuleChecker(settings.build(), 1.0);
        List<Upstream> all = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            all.add(SimulatedHost.endpoint(index, State.READY, 0));
        }
        host.checker.endpointsReported(host.nowUs, EndpointListKind.RESTORED, all);
        host.balancer.onEndpointList(host.nowUs, EndpointListKind.RESTORED, all);
        List<OutstandingAttempt> outstanding = new ArrayList<>();
        int served = 0;
        for (int step = 0; step < 4_000; step++) {
            host.advance(5_000);
            collectActions(host, random, outstanding);
            served += endDueAttempts(host, outstanding);
            if (step < 3_400 && random.nextInt(3) > 0) {
                host.request(
                        random.nextInt(3),
                        200_000 + random.nextLong(1_800_000),
                        "k" + random.nextInt(9),
                        5_000 + random.nextLong(40_000));
                collectActions(host, random, outstanding);
            }
            answerProbesAndSendPeerMessage(host, random);
            if (random.nextInt(150) == 0) {
                changeRandomUpstream(host, random);
            }
            if (random.nextInt(200) == 0 && !outstanding.isEmpty()) {
                String id = outstanding.get(random.nextInt(outstanding.size())).requestId;
                host.checker.clientDisconnected(id);
                host.balancer.onClientDisconnected(host.nowUs, id);
            }
            collectActions(host, random, outstanding);
        }
        host.checker.finish(host.nowUs);
        assertEquals(List.of(), host.checker.violations);
        assertTrue(
                served > (seed > 12 ? 150 : 200),
                "served " + served); // a balancer in a group of 40 uses a subset
    }

    /** Adds the attempts that were sent with random outcomes, and applies cancellations. */
    private static void collectActions(
            SimulatedHost host, SplittableRandom random, List<OutstandingAttempt> outstanding) {
        for (String line : host.actions) {
            String[] fields = line.split(" ");
            if (fields[1].equals("send")) {
                int attemptIndex =
                        (int) host.upstreamsByRequest.get(fields[2]).stream().count() - 1;
                Outcome[] all = Outcome.values();
                Outcome outcome =
                        random.nextInt(4) > 0 ? Outcome.OK : all[random.nextInt(all.length)];
                outstanding.add(
                        new OutstandingAttempt(
                                fields[2],
                                attemptIndex,
                                fields[3],
                                host.nowUs,
                                host.nowUs + random.nextLong(120_000),
                                outcome));
            } else if (fields[1].equals("cancel")) {
                for (int index = 0; index < outstanding.size(); index++) {
                    OutstandingAttempt outstandingAttempt = outstanding.get(index);
                    if (outstandingAttempt.requestId.equals(fields[2])
                            && outstandingAttempt.attemptIndex == Integer.parseInt(fields[3])) {
                        outstanding.set(
                                index,
                                new OutstandingAttempt(
                                        outstandingAttempt.requestId,
                                        outstandingAttempt.attemptIndex,
                                        outstandingAttempt.upstreamId,
                                        outstandingAttempt.sentAtUs,
                                        host.nowUs,
                                        Outcome.CANCELLED));
                    }
                }
            }
        }
        host.actions.clear();
    }

    /** Ends the attempts that are due. Returns how many were served. */
    private static int endDueAttempts(SimulatedHost host, List<OutstandingAttempt> outstanding) {
        int served = 0;
        for (OutstandingAttempt outstandingAttempt : new ArrayList<>(outstanding)) {
            if (outstandingAttempt.endsAtUs <= host.nowUs
                    && outstanding.remove(outstandingAttempt)) {
                boolean ok = outstandingAttempt.outcome == Outcome.OK;
                served += ok ? 1 : 0;
                LoadReport load = ok ? SimulatedHost.report(0.5) : null;
                AttemptEnd end =
                        new AttemptEnd(
                                outstandingAttempt.requestId,
                                outstandingAttempt.attemptIndex,
                                outstandingAttempt.upstreamId,
                                outstandingAttempt.outcome,
                                host.nowUs - outstandingAttempt.sentAtUs,
                                ok,
                                load);
                host.checker.attemptEnded(end);
                host.balancer.onAttemptEnd(host.nowUs, end);
            }
        }
        return served;
    }

    /** Answers most probes, and sends a message from a random peer, which may be corrupted. */
    private static void answerProbesAndSendPeerMessage(
            SimulatedHost host, SplittableRandom random) {
        List<String> probed = List.copyOf(host.probes);
        host.probes.clear();
        for (String upstream : probed) {
            if (random.nextInt(5) > 0) {
                Outcome outcome = random.nextInt(25) > 0 ? Outcome.OK : Outcome.CONNECT_FAILED;
                LoadReport load =
                        new LoadReport(0.5, random.nextInt(4), 0, Double.NaN, Double.NaN, 0);
                host.balancer.onProbeResult(
                        host.nowUs, upstream, outcome, outcome == Outcome.OK ? load : null);
            }
        }
        byte[] body =
                host.peerMessages.isEmpty()
                        ? new byte[random.nextInt(9)]
                        : host.peerMessages.get(0).clone();
        if (random.nextInt(3) == 0 && body.length > 0) {
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
        }
        host.balancer.onPeerMessage(host.nowUs, random.nextInt(50) - 5, body);
        host.peerMessages.clear();
    }

    private static void changeRandomUpstream(SimulatedHost host, SplittableRandom random) {
        int index = random.nextInt(6);
        int change = random.nextInt(4);
        State state = change == 0 ? State.DRAINING : change == 1 ? State.GONE : State.READY;
        Upstream upstream =
                SimulatedHost.endpoint(
                        index,
                        state,
                        state == State.READY ? host.nowUs - random.nextLong(SECOND_US) : 0);
        host.checker.endpointsReported(host.nowUs, EndpointListKind.CHANGES, List.of(upstream));
        host.balancer.onEndpointList(host.nowUs, EndpointListKind.CHANGES, List.of(upstream));
    }
}
