package myrtleladder.loadbalancer.admin;

import static myrtleladder.loadbalancer.admin.FleetProcesses.ALL;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.process.BalancerFleet;
import myrtleladder.testbed.proxy.FaultProxy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Five processes of the program that agree on who belongs to them, with faults between them. */
@Timeout(300)
class ConsensusProcessesTest {
    private static final String COUNCIL = "council = [\"b0\", \"b1\", \"b2\", \"b3\", \"b4\"]\n";
    private static final long MS = 1_000;
    private static final LinkFault LOSSY = new LinkFault(false, 0, 0, 0.2, 0);
    private static final LinkFault SLOW = new LinkFault(false, 150 * MS, 50 * MS, 0, 0);

    @TempDir Path folder;
    private FleetProcesses all;

    /** A view of just these, behind which a majority stands. */
    private static Predicate<JsonNode> view(List<String> names) {
        return l -> {
            TreeSet<String> lives = new TreeSet<>();
            l.at("/view/lives").fieldNames().forEachRemaining(lives::add);
            return l.path("decides").asBoolean() && lives.equals(new TreeSet<>(names));
        };
    }

    private static Predicate<JsonNode> life(String name, Predicate<Long> expected) {
        return l -> expected.test(l.at("/view/lives/" + name).asLong());
    }

    private static List<String> without(String name) {
        List<String> others = new ArrayList<>(ALL);
        others.remove(name);
        return others;
    }

    private void agreed(String what, List<String> observers, Predicate<JsonNode> expected)
            throws Exception {
        all.await(what, observers, "agreement", expected);
    }

    private String leader() throws Exception {
        agreed("a leader", List.of("b0"), l -> !l.at("/leader/name").asText().isEmpty());
        return all.look("b0", "agreement").at("/leader/name").asText();
    }

    private long number(String process) throws Exception {
        return all.look(process, "agreement").at("/view/number").asLong();
    }

    private long epoch(String process) throws Exception {
        return all.look(process, "agreement").at("/view/epoch").asLong();
    }

    @Test
    void processesAgreeOnOneViewThroughKillsPausesCutsLossAndSlowPeers() throws Exception {
        all = new FleetProcesses(folder, ALL, COUNCIL);
        all.run(
                all.layout(),
                (fleet, relay) -> {
                    agreed("a first view", ALL, view(ALL));
                    long epoch = epoch("b0");

                    String killed = leader();
                    long life = all.look(killed, "agreement").at("/self/life").asLong();
                    fleet.bring(new Fault.Kill(killed));
                    agreed("without its leader", without(killed), view(without(killed)));
                    fleet.bring(new Fault.Restart(killed));
                    agreed(
                            "with the leader's next life",
                            ALL,
                            view(ALL).and(life(killed, l -> l != life)));

                    String paused = without(leader()).get(0);
                    fleet.bring(new Fault.Pause(paused));
                    agreed("without one that stands still", without(paused), view(without(paused)));
                    fleet.bring(new Fault.Resume(paused));
                    agreed("with it again", ALL, view(ALL));

                    throughCuts(relay, epoch);
                    throughLossAndSlowness(fleet, relay);
                    assertEquals(epoch, epoch("b0"), "somebody began anew");

                    List<String> most = List.of("b0", "b1", "b2", "b3");
                    for (String name : most) {
                        fleet.bring(new Fault.Kill(name));
                    }
                    agreed("one that is left", List.of("b4"), l -> !l.path("decides").asBoolean());
                    for (String name : most) {
                        fleet.bring(new Fault.Restart(name));
                    }
                    agreed(
                            "founded anew",
                            ALL,
                            view(ALL).and(l -> l.at("/view/epoch").asLong() > epoch));
                    assertTrue(all.shown("b0").contains("view"), () -> "operators see the view");
                    assertEquals(ALL.size(), all.figure("b0", "yewyoke_agreement_members"));
                });
    }

    private void throughCuts(FaultProxy relay, long epoch) throws Exception {
        // It hears the others and is not heard, then the reverse.
        String cut = leader();
        without(cut).forEach(n -> relay.bring(new Fault.Link(cut, n, LinkFault.CUT)));
        agreed("a leader that is not heard", without(cut), view(without(cut)));
        relay.bring(new Fault.HealAll());
        agreed("heard again", ALL, view(ALL));
        String deaf = leader();
        without(deaf).forEach(n -> relay.bring(new Fault.Link(n, deaf, LinkFault.CUT)));
        agreed("a leader that hears nobody", without(deaf), view(without(deaf)));
        relay.bring(new Fault.HealAll());
        agreed("it hears again", ALL, view(ALL));

        FleetProcesses.cut(relay, List.of("b0", "b1"), List.of("b2", "b3", "b4"));
        agreed("the larger part", List.of("b2", "b3", "b4"), view(List.of("b2", "b3", "b4")));
        long number = number("b0");
        agreed("the smaller part knows", List.of("b0", "b1"), l -> !l.get("decides").asBoolean());
        FleetProcesses.cut(relay, List.of("b2", "b3"), List.of("b4"));
        agreed("three parts", ALL, l -> !l.get("decides").asBoolean());
        assertEquals(number, number("b0"), "the smaller part decided");
        relay.bring(new Fault.HealAll());
        agreed("one again", ALL, view(ALL));
        assertEquals(epoch, epoch("b0"), "somebody began anew");
    }

    private void throughLossAndSlowness(BalancerFleet fleet, FaultProxy relay) throws Exception {
        for (String from : ALL) {
            without(from).forEach(to -> relay.bring(new Fault.Link(from, to, LOSSY)));
        }
        String lossy = leader();
        fleet.bring(new Fault.Restart(lossy));
        agreed("a restart at 20% loss", ALL, view(ALL).and(life(lossy, l -> l == life(lossy))));
        relay.bring(new Fault.HealAll());
        without("b4")
                .forEach(
                        n -> {
                            relay.bring(new Fault.Link("b4", n, SLOW));
                            relay.bring(new Fault.Link(n, "b4", SLOW));
                        });
        fleet.bring(new Fault.Restart("b1"));
        agreed("a restart beside a slow one", ALL, view(ALL).and(life("b1", l -> l == life("b1"))));
        relay.bring(new Fault.HealAll());
    }

    private long life(String process) {
        try {
            return all.look(process, "agreement").at("/self/life").asLong();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
