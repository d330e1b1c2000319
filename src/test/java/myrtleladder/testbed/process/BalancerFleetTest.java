package myrtleladder.testbed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import myrtleladder.testbed.checker.Checker.Repeat;
import myrtleladder.testbed.checker.Rules;
import myrtleladder.testbed.checker.Violation;
import myrtleladder.testbed.checker.Violation.Kind;
import myrtleladder.testbed.fake.FakeClients;
import myrtleladder.testbed.fake.FakeClients.Outcome;
import myrtleladder.testbed.fake.RequestClass;
import myrtleladder.testbed.fake.TrafficProfile;
import myrtleladder.testbed.fake.UpstreamProfile;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.fault.LinkFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Several processes of the program with faults between them and under traffic: no rule is broken.
 */
@Timeout(120)
class BalancerFleetTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final Rules RULES =
            new Rules(500 * MS, 2 * SECOND, 0.3, 4 * SECOND, 2.5, SECOND);
    private static final UpstreamProfile KIND =
            new UpstreamProfile(
                    2, 1, 40, 200, 5 * SECOND, 100, 0.4, SECOND / 2, SECOND / 10, 0, RULES);
    private static final List<RequestClass> CLASSES =
            List.of(
                    new RequestClass("look", Repeat.FREE, 0.7, 8 * MS, 600 * MS, 1_500 * MS, 1, 0),
                    new RequestClass(
                            "book",
                            Repeat.KEYED,
                            0.2,
                            20 * MS,
                            2_500 * MS,
                            5 * SECOND,
                            10,
                            3 * SECOND),
                    new RequestClass(
                            "pay", Repeat.SINGLE, 0.1, 20 * MS, 2_500 * MS, 5 * SECOND, 10, 0));

    @TempDir Path folder;

    private BalancerFleet.Layout layout(
            int balancers, int upstreams, double perSecond, List<String> command) {
        return new BalancerFleet.Layout(
                balancers,
                upstreams,
                KIND,
                RULES,
                new TrafficProfile(perSecond, CLASSES, 300, 0.8),
                new FakeClients.Retries(2, 0.65, 100 * MS),
                LinkFault.NONE,
                11,
                0,
                command,
                Path.of("").toAbsolutePath(),
                folder);
    }

    private static List<String> program() {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "myrtleladder.loadbalancer.server.Main",
                "serve");
    }

    /**
     * A balancer is killed and comes back, an upstream drains, one dies, one link is cut and one
     * reset.
     */
    @Test
    void noRuleIsBrokenWhileProcessesAndLinksFail() throws Exception {
        FaultPlan plan =
                new FaultPlan(
                        List.of(
                                new FaultPlan.Step(SECOND, new Fault.Kill("b0")),
                                new FaultPlan.Step(1_100 * MS, new Fault.Drain("u0")),
                                new FaultPlan.Step(1_500 * MS, new Fault.Restart("b0")),
                                new FaultPlan.Step(
                                        2 * SECOND, new Fault.Link("b1", "u1", LinkFault.CUT)),
                                new FaultPlan.Step(2_200 * MS, new Fault.Kill("u2")),
                                new FaultPlan.Step(2_400 * MS, new Fault.Reset("b1", "u3")),
                                new FaultPlan.Step(3_500 * MS, new Fault.HealAll())));
        try (BalancerFleet fleet = new BalancerFleet(layout(2, 5, 150, program()))) {
            BalancerFleet.Result result = fleet.play(5 * SECOND, plan);
            assertEquals(List.of(), result.violations());
            assertTrue(result.ended().size() > 600, "ended: " + result.ended().size());
            assertTrue(
                    result.part(Outcome.SERVED) > 0.8,
                    "served: "
                            + result.part(Outcome.SERVED)
                            + ", late: "
                            + result.part(Outcome.LATE)
                            + ", refused: "
                            + result.part(Outcome.REFUSED)
                            + ", failed: "
                            + result.part(Outcome.FAILED));
        }
    }

    /** A balancer that is wrong in one way is found out, by that rule and no other. */
    @ParameterizedTest
    @EnumSource(Kind.class)
    void aBalancerThatBreaksARuleIsFoundOut(Kind kind) throws Exception {
        List<String> command = new ArrayList<>(program());
        command.subList(command.size() - 2, command.size()).clear();
        command.addAll(List.of(BrokenBalancer.class.getName(), kind.name()));
        FaultPlan plan =
                switch (kind) {
                    case AFTER_DRAIN ->
                            new FaultPlan(
                                    List.of(new FaultPlan.Step(100 * MS, new Fault.Drain("u0"))));
                    case COLD_OVERRUN ->
                            new FaultPlan(
                                    List.of(new FaultPlan.Step(100 * MS, new Fault.Restart("u0"))));
                    default -> FaultPlan.QUIET;
                };
        try (BalancerFleet fleet =
                new BalancerFleet(layout(1, 3, kind == Kind.COLD_OVERRUN ? 300 : 60, command))) {
            fleet.out("u0", kind == Kind.OUT); // it takes no part in any work, and sends there
            List<Violation> found =
                    fleet.play(kind == Kind.AFTER_DRAIN ? 4 * SECOND : 2 * SECOND, plan)
                            .violations();
            assertTrue(!found.isEmpty(), "nothing was found");
            assertEquals(
                    List.of(kind),
                    found.stream().map(Violation::kind).distinct().toList(),
                    "" + found);
        }
    }
}
