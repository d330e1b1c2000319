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
    private static final long SECOND = SimulatedHost.SECOND;

    private record Out(
            String id, int attempt, String upstream, long sentAt, long endsAt, Outcome outcome) {}

    @ParameterizedTest
    @ValueSource(
            longs = {
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23,
                24
            })
    void randomLegalEventsKeepTheRules(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SettingsBuilder settings = new SettingsBuilder();
        settings.hedging(seed % 2 == 0);
        settings.scope(Scope.values()[(int) (seed % 3)]);
        settings.warmKeys(seed % 3 == 0);
        settings.cancelling(seed % 4 != 0);
        settings.groupSize(seed > 12 ? 40 : 1);
        settings.peers(seed > 12 && seed % 2 == 0);
        settings.reports(seed % 2 == 0 ? Reports.IN_ANSWERS : Reports.BY_PROBE);
        settings.probePrice(seed > 12 ? 0.001 : 0.01);
        SimulatedHost host = SimulatedHost.of(settings);
        host.checker = new RuleChecker(settings.build(), 1.0);
        List<Upstream> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            all.add(SimulatedHost.endpoint(i, State.READY, 0));
        }
        host.checker.endpointsReported(host.nowUs, ListKind.RESTORED, all);
        host.balancer.upstreams(host.nowUs, ListKind.RESTORED, all);
        List<Out> out = new ArrayList<>();
        int served = 0;
        for (int step = 0; step < 4_000; step++) {
            host.advance(5_000);
            gather(host, random, out);
            served += deliver(host, out);
            if (step < 3_400 && random.nextInt(3) > 0) {
                host.request(
                        random.nextInt(3),
                        200_000 + random.nextLong(1_800_000),
                        "k" + random.nextInt(9),
                        5_000 + random.nextLong(40_000));
                gather(host, random, out);
            }
            gossip(host, random);
            if (random.nextInt(150) == 0) {
                change(host, random);
            }
            if (random.nextInt(200) == 0 && !out.isEmpty()) {
                String id = out.get(random.nextInt(out.size())).id;
                host.checker.clientGone(id);
                host.balancer.clientGone(host.nowUs, id);
            }
            gather(host, random, out);
        }
        host.checker.finish(host.nowUs);
        assertEquals(List.of(), host.checker.breaches);
        assertTrue(
                served > (seed > 12 ? 150 : 200), "served " + served); // a balancer in a group of 40 uses a subset
    }

    private static void gather(SimulatedHost host, SplittableRandom random, List<Out> out) {
        for (String line : host.actions) {
            String[] f = line.split(" ");
            if (f[1].equals("send")) {
                int attempt = (int) host.sends.get(f[2]).stream().count() - 1;
                Outcome[] all = Outcome.values();
                Outcome o = random.nextInt(4) > 0 ? Outcome.OK : all[random.nextInt(all.length)];
                out.add(
                        new Out(
                                f[2],
                                attempt,
                                f[3],
                                host.nowUs,
                                host.nowUs + random.nextLong(120_000),
                                o));
            } else if (f[1].equals("cancel")) {
                for (int i = 0; i < out.size(); i++) {
                    Out x = out.get(i);
                    if (x.id.equals(f[2]) && x.attempt == Integer.parseInt(f[3])) {
                        out.set(
                                i,
                                new Out(
                                        x.id,
                                        x.attempt,
                                        x.upstream,
                                        x.sentAt,
                                        host.nowUs,
                                        Outcome.CANCELLED));
                    }
                }
            }
        }
        host.actions.clear();
    }

    private static int deliver(SimulatedHost host, List<Out> out) {
        int served = 0;
        for (Out x : new ArrayList<>(out)) {
            if (x.endsAt <= host.nowUs && out.remove(x)) {
                boolean ok = x.outcome == Outcome.OK;
                served += ok ? 1 : 0;
                LoadReport load = ok ? SimulatedHost.report(0.5) : null;
                AttemptEnd end =
                        new AttemptEnd(
                                x.id,
                                x.attempt,
                                x.upstream,
                                x.outcome,
                                host.nowUs - x.sentAt,
                                ok,
                                load);
                host.checker.ended(end);
                host.balancer.outcome(host.nowUs, end);
            }
        }
        return served;
    }

    /**
     * Answers most probes, and sends a message from a random peer, which may be corrupted.
     */
    private static void gossip(SimulatedHost host, SplittableRandom random) {
        List<String> asked = List.copyOf(host.probes);
        host.probes.clear();
        for (String upstream : asked) {
            if (random.nextInt(5) > 0) {
                Outcome o = random.nextInt(25) > 0 ? Outcome.OK : Outcome.CONNECT_FAILED;
                LoadReport load =
                        new LoadReport(0.5, random.nextInt(4), 0, Double.NaN, Double.NaN, 0);
                host.balancer.probed(host.nowUs, upstream, o, o == Outcome.OK ? load : null);
            }
        }
        byte[] body =
                host.peerMessages.isEmpty()
                        ? new byte[random.nextInt(9)]
                        : host.peerMessages.get(0).clone();
        if (random.nextInt(3) == 0 && body.length > 0) {
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
        }
        host.balancer.peerMessage(host.nowUs, random.nextInt(50) - 5, body);
        host.peerMessages.clear();
    }

    private static void change(SimulatedHost host, SplittableRandom random) {
        int i = random.nextInt(6);
        int what = random.nextInt(4);
        State state = what == 0 ? State.DRAINING : what == 1 ? State.GONE : State.READY;
        Upstream u =
                SimulatedHost.endpoint(
                        i, state, state == State.READY ? host.nowUs - random.nextLong(SECOND) : 0);
        host.checker.endpointsReported(host.nowUs, ListKind.CHANGES, List.of(u));
        host.balancer.upstreams(host.nowUs, ListKind.CHANGES, List.of(u));
    }
}
