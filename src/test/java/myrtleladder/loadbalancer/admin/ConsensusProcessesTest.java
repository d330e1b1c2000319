package myrtleladder.loadbalancer.admin;

import static myrtleladder.loadbalancer.admin.FleetProcesses.NAMES;
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

/** Five load balancer processes agree on their membership by consensus, with injected faults. */
@Timeout(300)
class ConsensusProcessesTest {
    private static final String COUNCIL_SETTING =
            "council = [\"b0\", \"b1\", \"b2\", \"b3\", \"b4\"]\n";
    private static final long US_PER_MS = 1_000;
    private static final LinkFault LOSSY = new LinkFault(false, 0, 0, 0.2, 0);
    private static final LinkFault SLOW =
            new LinkFault(false, 150 * US_PER_MS, 50 * US_PER_MS, 0, 0);

    @TempDir Path folder;
    private FleetProcesses all;

    /** Matches a view of exactly these members that has a majority. */
    private static Predicate<JsonNode> hasView(List<String> names) {
        return l -> {
            TreeSet<String> lives = new TreeSet<>();
            l.at("/view/lives").fieldNames().forEachRemaining(lives::add);
            return l.path("decides").asBoolean() && lives.equals(new TreeSet<>(names));
        };
    }

    private static Predicate<JsonNode> lifeMatches(String name, Predicate<Long> expected) {
        return l -> expected.test(l.at("/view/lives/" + name).asLong());
    }

    private static List<String> without(String name) {
        List<String> others = new ArrayList<>(NAMES);
        others.remove(name);
        return others;
    }

    private void awaitConsensus(String what, List<String> observers, Predicate<JsonNode> expected)
            throws Exception {
        all.await(what, observers, "agreement", expected);
    }

    private String awaitLeader() throws Exception {
        awaitConsensus(
                "a leader is known", List.of("b0"), l -> !l.at("/leader/name").asText().isEmpty());
        return all.status("b0", "agreement").at("/leader/name").asText();
    }

    private long fetchViewNumber(String process) throws Exception {
        return all.status(process, "agreement").at("/view/number").asLong();
    }

    private long fetchEpoch(String process) throws Exception {
        return all.status(process, "agreement").at("/view/epoch").asLong();
    }

    @Test
    void processesAgreeOnOneViewAfterKillsPausesLinkCutsLossAndDelay() throws Exception {
        all = new FleetProcesses(folder, NAMES, COUNCIL_SETTING);
        all.run(
                all.layout(),
                (fleet, proxy) -> {
                    awaitConsensus("the first view", NAMES, hasView(NAMES));
                    long epoch = fetchEpoch("b0");

                    String killed = awaitLeader();
                    long life = all.status(killed, "agreement").at("/self/life").asLong();
                    fleet.bring(new Fault.Kill(killed));
                    awaitConsensus(
                            "a view without the killed leader",
                            without(killed),
                            hasView(without(killed)));
                    fleet.bring(new Fault.Restart(killed));
                    awaitConsensus(
                            "a view with the restarted leader",
                            NAMES,
                            hasView(NAMES).and(lifeMatches(killed, l -> l != life)));

                    String paused = without(awaitLeader()).get(0);
                    fleet.bring(new Fault.Pause(paused));
                    awaitConsensus(
                            "a view without the paused process",
                            without(paused),
                            hasView(without(paused)));
                    fleet.bring(new Fault.Resume(paused));
                    awaitConsensus("a view with the resumed process", NAMES, hasView(NAMES));

                    cutAndHealLinks(proxy, epoch);
                    restartWithLossAndSlowLinks(fleet, proxy);
                    assertEquals(epoch, fetchEpoch("b0"), "a process started a new epoch");

                    List<String> majority = List.of("b0", "b1", "b2", "b3");
                    for (String name : majority) {
                        fleet.bring(new Fault.Kill(name));
                    }
                    awaitConsensus(
                            "a single process has no majority",
                            List.of("b4"),
                            l -> !l.path("decides").asBoolean());
                    for (String name : majority) {
                        fleet.bring(new Fault.Restart(name));
                    }
                    awaitConsensus(
                            "a new epoch after the loss of the majority",
                            NAMES,
                            hasView(NAMES).and(l -> l.at("/view/epoch").asLong() > epoch));
                    assertTrue(
                            all.printMembers("b0").contains("view"),
                            () -> "the command prints the view");
                    assertEquals(NAMES.size(), all.fetchMetric("b0", "yewyoke_agreement_members"));
                });
    }

    private void cutAndHealLinks(FaultProxy proxy, long epoch) throws Exception {
        // First the leader receives messages but its own are dropped, then the reverse.
        String notSending = awaitLeader();
        without(notSending).forEach(n -> proxy.bring(new Fault.Link(notSending, n, LinkFault.CUT)));
        awaitConsensus(
                "a view without the leader whose messages are dropped",
                without(notSending),
                hasView(without(notSending)));
        proxy.bring(new Fault.HealAll());
        awaitConsensus("all members after the link is restored", NAMES, hasView(NAMES));
        String notReceiving = awaitLeader();
        without(notReceiving)
                .forEach(n -> proxy.bring(new Fault.Link(n, notReceiving, LinkFault.CUT)));
        awaitConsensus(
                "a view without the leader that receives nothing",
                without(notReceiving),
                hasView(without(notReceiving)));
        proxy.bring(new Fault.HealAll());
        awaitConsensus("all members after the leader receives again", NAMES, hasView(NAMES));

        FleetProcesses.cutLinks(proxy, List.of("b0", "b1"), List.of("b2", "b3", "b4"));
        awaitConsensus(
                "the majority partition",
                List.of("b2", "b3", "b4"),
                hasView(List.of("b2", "b3", "b4")));
        long number = fetchViewNumber("b0");
        awaitConsensus(
                "the minority partition has no majority",
                List.of("b0", "b1"),
                l -> !l.get("decides").asBoolean());
        FleetProcesses.cutLinks(proxy, List.of("b2", "b3"), List.of("b4"));
        awaitConsensus(
                "no majority in three partitions", NAMES, l -> !l.get("decides").asBoolean());
        assertEquals(number, fetchViewNumber("b0"), "the minority partition changed its view");
        proxy.bring(new Fault.HealAll());
        awaitConsensus("all members after the partitions are healed", NAMES, hasView(NAMES));
        assertEquals(epoch, fetchEpoch("b0"), "a process started a new epoch");
    }

    private void restartWithLossAndSlowLinks(BalancerFleet fleet, FaultProxy proxy)
            throws Exception {
        for (String from : NAMES) {
            without(from).forEach(to -> proxy.bring(new Fault.Link(from, to, LOSSY)));
        }
        String lossy = awaitLeader();
        fleet.bring(new Fault.Restart(lossy));
        awaitConsensus(
                "a restart at 20% loss",
                NAMES, hasView(NAMES).and(lifeMatches(lossy, l -> l == fetchLife(lossy))));
        proxy.bring(new Fault.HealAll());
        without("b4")
                .forEach(
                        n -> {
                            proxy.bring(new Fault.Link("b4", n, SLOW));
                            proxy.bring(new Fault.Link(n, "b4", SLOW));
                        });
        fleet.bring(new Fault.Restart("b1"));
        awaitConsensus(
                "a restart with slow links to one member",
                NAMES,
                hasView(NAMES).and(lifeMatches("b1", l -> l == fetchLife("b1"))));
        proxy.bring(new Fault.HealAll());
    }

    private long fetchLife(String process) {
        try {
            return all.status(process, "agreement").at("/self/life").asLong();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
