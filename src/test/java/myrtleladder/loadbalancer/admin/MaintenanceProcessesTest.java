package myrtleladder.loadbalancer.admin;

import static myrtleladder.loadbalancer.admin.FleetProcesses.ALL;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import myrtleladder.error.OperatorError.InvalidPlan;
import myrtleladder.error.OperatorError.NoMajority;
import myrtleladder.error.OperatorError.StalePermit;
import myrtleladder.error.OperatorError.UnknownMachine;
import myrtleladder.testbed.checker.Violation;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.process.BalancerFleet;
import myrtleladder.testbed.proxy.FaultProxy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Five processes that take eight upstreams out for work under traffic, with faults between them.
 */
@Timeout(240)
class MaintenanceProcessesTest {
    private static final String FLEET =
            "council = [\"b0\", \"b1\", \"b2\", \"b3\", \"b4\"]\n" + "longest-work-s = 3\n";
    private static final long SECOND = 1_000_000;
    private static final int MACHINES = 8;
    private static final LinkFault LOSSY = new LinkFault(false, 0, 0, 0.2, 0);

    @TempDir Path folder;
    private FleetProcesses all;

    private static String plan(int machines, int atOnce, int seconds) {
        StringBuilder plan = new StringBuilder("name = \"patch\"\nat-once = " + atOnce + "\n");
        for (int i = 0; i < machines; i++) {
            plan.append("[[machine]]\nupstream = \"u")
                    .append(i)
                    .append("\"\nseconds = ")
                    .append(seconds)
                    .append('\n');
        }
        return plan.toString();
    }

    /** Does the work on whatever has a permit, by what any process says, until all is over. */
    private final class Worker {
        final BalancerFleet fleet;
        final Map<String, String> going = new HashMap<>();
        final Set<String> done = new TreeSet<>();

        /** Long past what it takes; a play that hangs says what for. */
        final long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(100);

        Worker(BalancerFleet fleet) {
            this.fleet = fleet;
        }

        boolean look(String process) throws Exception {
            JsonNode work = all.look(process, "work");
            boolean over = work.path("jobs").size() == MACHINES;
            int missing = 0;
            for (JsonNode job : work.path("jobs")) {
                String machine = job.get("machine").asText();
                String state = job.get("state").asText();
                over &= state.equals("IN");
                missing += Set.of("OUT", "OVERDUE", "WARMING").contains(state) ? 1 : 0;
                if (state.equals("OUT") || state.equals("OVERDUE")) {
                    work(process, machine, job.get("permit"));
                }
            }
            assertTrue(missing <= 2, work::toString);
            assertTrue(System.nanoTime() < until, () -> "not over: " + work);
            return over;
        }

        private void work(String process, String machine, JsonNode permit) throws Exception {
            String its = permit.get("epoch").asText() + "." + permit.get("index").asText();
            if (!its.equals(going.put(machine, its))) {
                fleet.out(machine, true);
                LockSupport.parkNanos(200_000_000); // the work
                fleet.out(machine, false);
                done.add(machine);
            }
            String said =
                    all.post(
                            process,
                            "work/done",
                            "{\"machine\":\""
                                    + machine
                                    + "\",\"epoch\":"
                                    + permit.get("epoch")
                                    + ",\"index\":"
                                    + permit.get("index")
                                    + "}");
            assertTrue(
                    said.startsWith("202") || said.startsWith("409") || said.startsWith("503"),
                    said);
        }
    }

    /** Whether all belong to the fleet: with two of five away the loss of a third stops it. */
    private boolean whole(String process) throws Exception {
        JsonNode look = all.look(process, "agreement");
        return look.path("decides").asBoolean() && look.at("/view/lives").size() == ALL.size();
    }

    /**
     * Work goes on while a process fails, until it is voted out, and until it is taken in again.
     */
    private void outAndBack(
            BalancerFleet fleet,
            Worker worker,
            String who,
            String asked,
            Fault fails,
            Fault returns)
            throws Exception {
        fleet.bring(fails);
        while (all.look(asked, "agreement").at("/view/lives").has(who)) {
            worker.look(asked);
        }
        fleet.bring(returns);
        while (!whole(asked)) {
            worker.look(asked);
        }
    }

    @Test
    void machinesAreTakenOutUnderTrafficThroughKillsPausesCutsAndLoss() throws Exception {
        all = new FleetProcesses(folder, ALL, FLEET);
        all.run(
                all.layout(MACHINES, 250),
                (fleet, relay) -> {
                    awaitReadyForWork();
                    AtomicReference<BalancerFleet.Result> result = new AtomicReference<>();
                    CompletableFuture<Void> play =
                            CompletableFuture.runAsync(
                                    () -> {
                                        try {
                                            result.set(fleet.play(60 * SECOND, FaultPlan.QUIET));
                                        } catch (InterruptedException e) {
                                            throw new IllegalStateException(e);
                                        }
                                    });
                    assertTrue(all.post("b3", "work", plan(MACHINES, 2, 3)).startsWith("202"));
                    Worker worker = new Worker(fleet);
                    while (worker.done.size() < 1) {
                        worker.look("b0");
                    }
                    String leader = all.look("b0", "agreement").at("/leader/name").asText();
                    List<String> others = ALL.stream().filter(n -> !n.equals(leader)).toList();
                    String asked = others.get(0);
                    outAndBack(
                            fleet,
                            worker,
                            leader,
                            asked,
                            new Fault.Kill(leader),
                            new Fault.Restart(leader));
                    outAndBack(
                            fleet,
                            worker,
                            others.get(1),
                            asked,
                            new Fault.Pause(others.get(1)),
                            new Fault.Resume(others.get(1)));
                    cutOff(relay, worker, others.get(2), asked);
                    bringLossToAllLinks(relay);
                    while (!worker.look(asked)) {
                        assertEquals(MACHINES, all.look(asked, "work").path("jobs").size());
                    }
                    relay.bring(new Fault.HealAll());
                    all.awaitOne(ALL, "work", "/jobs");
                    play.get();
                    assertEquals(
                            List.of(),
                            result.get().violations().stream()
                                    .filter(v -> v.kind() != Violation.Kind.LOST)
                                    .toList());
                    assertEquals(MACHINES, worker.done.size());
                });
    }

    private void awaitReadyForWork() throws Exception {
        all.await(
                "the fleet is one and nothing older can be going on",
                ALL,
                "work",
                l ->
                        l.path("safe").asBoolean()
                                && l.path("registered").asBoolean()
                                && l.path("leave").asBoolean());
    }

    /** Cuts a process off until the others vote it out: it grants nothing meanwhile. */
    private void cutOff(FaultProxy relay, Worker worker, String cut, String asked)
            throws Exception {
        FleetProcesses.cut(relay, List.of(cut), ALL.stream().filter(n -> !n.equals(cut)).toList());
        all.await(
                "it knows that it is cut off",
                List.of(cut),
                "agreement",
                l -> !l.path("decides").asBoolean());
        all.await("it has no leave", List.of(cut), "work", l -> !l.path("leave").asBoolean());
        String refused = all.post(cut, "work", plan(1, 1, 3));
        assertTrue(refused.startsWith("503") && refused.contains(NoMajority.CODE), refused);
        while (all.look(asked, "agreement").at("/view/lives").has(cut)) {
            worker.look(asked);
        }
        relay.bring(new Fault.HealAll());
    }

    private static void bringLossToAllLinks(FaultProxy relay) {
        ALL.forEach(
                a ->
                        ALL.stream()
                                .filter(b -> !b.equals(a))
                                .forEach(b -> relay.bring(new Fault.Link(a, b, LOSSY))));
    }

    @Test
    void whatCannotBeTakenIsRefusedByItsType() throws Exception {
        all = new FleetProcesses(folder, ALL, FLEET);
        all.run(
                all.layout(),
                (fleet, relay) -> {
                    all.await("the fleet is one", ALL, "work", l -> l.path("safe").asBoolean());
                    refused("400", InvalidPlan.CODE, "work", plan(2, 1, 30), "longest-work-s");
                    refused(
                            "400",
                            "Y103",
                            "work",
                            "name = \"x\"\nat-onse = 1\n[[machine]]\nupstream = \"u0\"\n"
                                    + "seconds = 1\n",
                            "plan:2: at-onse");
                    refused(
                            "400",
                            InvalidPlan.CODE,
                            "work",
                            "name = \"x\"\nkeep-percent = 100\n[[machine]]\n"
                                    + "upstream = \"u0\"\nseconds = 1\n",
                            "none to spare");
                    refused("404", UnknownMachine.CODE, "work", plan(3, 1, 1), "u2");
                    refused(
                            "404",
                            UnknownMachine.CODE,
                            "work/done",
                            "machine = \"u0\"\nepoch = 1\nindex = 1\n",
                            "u0");
                    assertTrue(all.post("b1", "work", plan(1, 1, 3)).startsWith("202"));
                    all.await(
                            "a permit",
                            List.of("b2"),
                            "work",
                            l -> l.at("/jobs/0/state").asText().equals("OUT"));
                    refused(
                            "409",
                            StalePermit.CODE,
                            "work/done",
                            "machine = \"u0\"\nepoch = 1\nindex = 1\n",
                            "u0");
                    fleet.out("u0", true);
                    String permit = all.look("b2", "work").at("/jobs/0/permit/epoch").asText();
                    String index = all.look("b2", "work").at("/jobs/0/permit/index").asText();
                    String done =
                            "machine = \"u0\"\nepoch = " + permit + "\nindex = " + index + "\n";
                    fleet.out("u0", false);
                    assertTrue(all.post("b2", "work/done", done).startsWith("202"));
                    all.await(
                            "it is known to be done",
                            ALL,
                            "work",
                            l -> !l.at("/jobs/0/state").asText().equals("OUT"));
                    refused("409", StalePermit.CODE, "work/done", done, "u0");
                });
    }

    private void refused(String status, String code, String part, String body, String why)
            throws Exception {
        String said = all.post("b0", part, body);
        assertTrue(said.startsWith(status + " " + code) && said.contains(why), said);
    }
}
