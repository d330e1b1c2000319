package myrtleladder.loadbalancer.admin;

import static myrtleladder.loadbalancer.admin.FleetProcesses.NAMES;
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
 * Maintenance of upstreams by a fleet of five processes: of eight upstreams under traffic and
 * injected faults, and the rejection of invalid requests.
 */
@Timeout(240)
class MaintenanceProcessesTest {
    private static final String FLEET_SETTINGS =
            "council = [\"b0\", \"b1\", \"b2\", \"b3\", \"b4\"]\n" + "longest-work-s = 3\n";
    private static final long US_PER_SECOND = 1_000_000;
    private static final int MACHINES = 8;

    /** Loses a message with probability 0.2. */
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

    /**
     * Does the maintenance in place of an operator. Each poll reads the status of one process,
     * checks that at most two machines are out of service, and works on the machines that have a
     * permit and reports them as done.
     */
    private final class Worker {
        final BalancerFleet fleet;
        final Map<String, String> startedPermits = new HashMap<>();
        final Set<String> finishedMachines = new TreeSet<>();

        /**
         * Much later than the work needs; a run that hangs fails then and shows the status that it
         * waits on.
         */
        final long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(100);

        Worker(BalancerFleet fleet) {
            this.fleet = fleet;
        }

        boolean poll(String process) throws Exception {
            JsonNode work = all.status(process, "work");
            boolean isFinished = work.path("jobs").size() == MACHINES;
            int outOfService = 0;
            for (JsonNode job : work.path("jobs")) {
                String machine = job.get("machine").asText();
                String state = job.get("state").asText();
                isFinished &= state.equals("IN");
                outOfService += Set.of("OUT", "OVERDUE", "WARMING").contains(state) ? 1 : 0;
                if (state.equals("OUT") || state.equals("OVERDUE")) {
                    doWork(process, machine, job.get("permit"));
                }
            }
            assertTrue(outOfService <= 2, work::toString);
            assertTrue(
                    System.nanoTime() < deadlineNanos,
                    () -> "maintenance has not finished: " + work);
            return isFinished;
        }

        private void doWork(String process, String machine, JsonNode permit) throws Exception {
            String permitId = permit.get("epoch").asText() + "." + permit.get("index").asText();
            if (!permitId.equals(startedPermits.put(machine, permitId))) {
                fleet.out(machine, true);
                LockSupport.parkNanos(200_000_000); // the maintenance itself
                fleet.out(machine, false);
                finishedMachines.add(machine);
            }
            String response =
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
                    response.startsWith("202")
                            || response.startsWith("409")
                            || response.startsWith("503"),
                    response);
        }
    }

    /**
     * Whether a process has a majority and all five processes are in its view. The test waits for
     * this before the next fault: if two processes were missing, the loss of a third would stop the
     * consensus.
     */
    private boolean hasAllMembers(String process) throws Exception {
        JsonNode status = all.status(process, "agreement");
        return status.path("decides").asBoolean()
                && status.at("/view/lives").size() == NAMES.size();
    }

    /**
     * Keeps the worker going while a process fails and is removed from the view, and until it has
     * returned and rejoined.
     */
    private void failAndRecover(
            BalancerFleet fleet,
            Worker worker,
            String failing,
            String observer,
            Fault fails,
            Fault returns)
            throws Exception {
        fleet.bring(fails);
        while (all.status(observer, "agreement").at("/view/lives").has(failing)) {
            worker.poll(observer);
        }
        fleet.bring(returns);
        while (!hasAllMembers(observer)) {
            worker.poll(observer);
        }
    }

    @Test
    void maintenanceCompletesUnderTrafficWithKillsPausesLinkCutsAndLoss() throws Exception {
        all = new FleetProcesses(folder, NAMES, FLEET_SETTINGS);
        all.run(
                all.layout(MACHINES, 250),
                (fleet, proxy) -> {
                    awaitReadyForWork();
                    AtomicReference<BalancerFleet.Result> result = new AtomicReference<>();
                    CompletableFuture<Void> play =
                            CompletableFuture.runAsync(
                                    () -> {
                                        try {
                                            result.set(
                                                    fleet.play(
                                                            60 * US_PER_SECOND, FaultPlan.QUIET));
                                        } catch (InterruptedException e) {
                                            throw new IllegalStateException(e);
                                        }
                                    });
                    assertTrue(all.post("b3", "work", plan(MACHINES, 2, 3)).startsWith("202"));
                    Worker worker = new Worker(fleet);
                    while (worker.finishedMachines.size() < 1) {
                        worker.poll("b0");
                    }
                    String leader = all.status("b0", "agreement").at("/leader/name").asText();
                    List<String> others = NAMES.stream().filter(n -> !n.equals(leader)).toList();
                    String observer = others.get(0);
                    failAndRecover(
                            fleet,
                            worker,
                            leader,
                            observer,
                            new Fault.Kill(leader),
                            new Fault.Restart(leader));
                    failAndRecover(
                            fleet,
                            worker,
                            others.get(1),
                            observer,
                            new Fault.Pause(others.get(1)),
                            new Fault.Resume(others.get(1)));
                    isolateUntilRemoved(proxy, worker, others.get(2), observer);
                    addLossToAllLinks(proxy);
                    while (!worker.poll(observer)) {
                        assertEquals(MACHINES, all.status(observer, "work").path("jobs").size());
                    }
                    proxy.bring(new Fault.HealAll());
                    all.awaitEqual(NAMES, "work", "/jobs");
                    play.get();
                    assertEquals(
                            List.of(),
                            result.get().violations().stream()
                                    .filter(v -> v.kind() != Violation.Kind.LOST)
                                    .toList());
                    assertEquals(MACHINES, worker.finishedMachines.size());
                });
    }

    private void awaitReadyForWork() throws Exception {
        all.await(
                "all processes are registered and no earlier work can be in progress",
                NAMES,
                "work",
                l ->
                        l.path("safe").asBoolean()
                                && l.path("registered").asBoolean()
                                && l.path("leave").asBoolean());
    }

    /**
     * Cuts the links of a process to all others until they remove it from the view. Checks that it
     * meanwhile loses its majority and its lease and rejects a plan.
     */
    private void isolateUntilRemoved(
            FaultProxy proxy, Worker worker, String isolated, String observer) throws Exception {
        FleetProcesses.cutLinks(
                proxy, List.of(isolated), NAMES.stream().filter(n -> !n.equals(isolated)).toList());
        all.await(
                "the isolated process has no majority",
                List.of(isolated),
                "agreement",
                l -> !l.path("decides").asBoolean());
        all.await(
                "the isolated process has no permission to send",
                List.of(isolated),
                "work",
                l -> !l.path("leave").asBoolean());
        String refused = all.post(isolated, "work", plan(1, 1, 3));
        assertTrue(refused.startsWith("503") && refused.contains(NoMajority.CODE), refused);
        while (all.status(observer, "agreement").at("/view/lives").has(isolated)) {
            worker.poll(observer);
        }
        proxy.bring(new Fault.HealAll());
    }

    private static void addLossToAllLinks(FaultProxy proxy) {
        NAMES.forEach(
                a ->
                        NAMES.stream()
                                .filter(b -> !b.equals(a))
                                .forEach(b -> proxy.bring(new Fault.Link(a, b, LOSSY))));
    }

    @Test
    void invalidRequestIsRejectedWithStatusAndCode() throws Exception {
        all = new FleetProcesses(folder, NAMES, FLEET_SETTINGS);
        all.run(
                all.layout(),
                (fleet, proxy) -> {
                    all.await(
                            "the fleet is ready for maintenance",
                            NAMES,
                            "work",
                            l -> l.path("safe").asBoolean());
                    assertRejected(
                            "400", InvalidPlan.CODE, "work", plan(2, 1, 30), "longest-work-s");
                    assertRejected(
                            "400",
                            "Y103",
                            "work",
                            "name = \"x\"\nat-onse = 1\n[[machine]]\nupstream = \"u0\"\n"
                                    + "seconds = 1\n",
                            "plan:2: at-onse");
                    assertRejected(
                            "400",
                            InvalidPlan.CODE,
                            "work",
                            "name = \"x\"\nkeep-percent = 100\n[[machine]]\n"
                                    + "upstream = \"u0\"\nseconds = 1\n",
                            "none to spare");
                    assertRejected("404", UnknownMachine.CODE, "work", plan(3, 1, 1), "u2");
                    assertRejected(
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
                    assertRejected(
                            "409",
                            StalePermit.CODE,
                            "work/done",
                            "machine = \"u0\"\nepoch = 1\nindex = 1\n",
                            "u0");
                    fleet.out("u0", true);
                    String permit = all.status("b2", "work").at("/jobs/0/permit/epoch").asText();
                    String index = all.status("b2", "work").at("/jobs/0/permit/index").asText();
                    String done =
                            "machine = \"u0\"\nepoch = " + permit + "\nindex = " + index + "\n";
                    fleet.out("u0", false);
                    assertTrue(all.post("b2", "work/done", done).startsWith("202"));
                    all.await(
                            "all processes see the work as done",
                            NAMES,
                            "work",
                            l -> !l.at("/jobs/0/state").asText().equals("OUT"));
                    assertRejected("409", StalePermit.CODE, "work/done", done, "u0");
                });
    }

    private void assertRejected(String status, String code, String part, String body, String why)
            throws Exception {
        String response = all.post("b0", part, body);
        assertTrue(response.startsWith(status + " " + code) && response.contains(why), response);
    }
}
