package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import myrtleladder.controlplane.SoakSchedule.Step;
import myrtleladder.controlplane.TallyHistory.Interval;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.proxy.FaultProxy;

/**
 * One run of a control plane of real processes under the schedule of a seed, with applications that
 * use tallies, and operators, balancers and upstreams. A node has settled once it answers reads of
 * tallies and has done so for the time to catch up.
 */
final class SoakRun implements AutoCloseable {
    static final long MERGE_MS = 3_000;

    private static final int APPLICATIONS_PER_ZONE = 2;
    private static final long CATCH_UP_NS = TimeUnit.SECONDS.toNanos(4);
    private static final long SETTLE_TIMEOUT_MS = 45_000;

    /** How long a wipe may wait until enough nodes have settled; after it no disk is wiped. */
    private static final long MAX_DELAY_MS = 10_000;

    private static final long LOOK_INTERVAL_MS = 50;

    /** More nodes than this never lead one after the other in a run; see ControlTraffic. */
    private static final int MAX_PRIMARIES = 100;

    private final long seed;
    private final ControlTopology topology;
    private final List<Step> steps;
    private final FaultProxy proxy;
    private final ControlProcesses processes;
    private final TallyHistory history = new TallyHistory(MERGE_MS);
    private final List<TallyApplication> applications = new ArrayList<>();
    private final Map<String, AtomicInteger> lives = new ConcurrentHashMap<>();

    /** When a node that runs has begun to answer; nodes that are away are missing. */
    private final Map<String, Long> answersSinceNs = new ConcurrentHashMap<>();

    /** Nodes that run but have not answered since they were started or resumed. */
    private final Map<String, Boolean> returning = new ConcurrentHashMap<>();

    /** Ends the nodes if the run is interrupted. */
    private final Thread processEnd = new Thread(this::endProcesses);

    private final Thread watcher = new Thread(this::watch, "watcher");
    private volatile boolean running = true;
    private long disruptedSinceNs;
    private boolean isDisrupted;
    private long cutSinceNs;
    private boolean isCut;

    SoakRun(long seed, ControlTopology topology, long durationMs, Path folder) {
        this.seed = seed;
        this.topology = topology;
        this.steps = SoakSchedule.draw(seed, topology, durationMs);
        proxy = new FaultProxy(seed, LinkFault.NONE);
        processes = new ControlProcesses(folder, proxy, topology);
        topology.names().forEach(name -> lives.put(name, new AtomicInteger()));
        Runtime.getRuntime().addShutdownHook(processEnd);
    }

    /** The schedule as text, one fault a line. */
    String schedule() {
        StringBuilder text = new StringBuilder();
        steps.forEach(step -> text.append(step).append('\n'));
        return text.toString();
    }

    /** Plays the schedule; returns what was violated. */
    List<String> play() throws Exception {
        startAll();
        List<String> violations = new ArrayList<>();
        try (ControlTraffic traffic = new ControlTraffic(processes)) {
            startApplications();
            playSteps();
            long recoveredMs = awaitSettled();
            Uninterruptibles.sleepUninterruptibly(MERGE_MS, TimeUnit.MILLISECONDS);
            applications.forEach(TallyApplication::close);
            violations.addAll(traffic.violationsAtEnd(MAX_PRIMARIES));
            Uninterruptibles.sleepUninterruptibly(MERGE_MS, TimeUnit.MILLISECONDS);
            violations.addAll(disagreements());
            endIntervals();
            violations.addAll(history.violations());
            System.out.printf(
                    "seed %d: %s; settled %d ms after the end; configurations %d, departures %d%n",
                    seed,
                    history.summary(),
                    recoveredMs,
                    traffic.newestAcknowledged(),
                    traffic.departures());
        }
        return violations;
    }

    private void startAll() throws Exception {
        for (String name : topology.names()) {
            processes.start(name, true);
            returning.put(name, true);
        }
        watcher.start();
        processes.firstChange();
        processes.awaitMembers(topology.names());
        awaitSettled();
    }

    private void startApplications() {
        for (String zone : topology.zoneNames()) {
            for (int i = 0; i < APPLICATIONS_PER_ZONE; i++) {
                applications.add(
                        new TallyApplication(
                                "application-" + zone + "-" + i,
                                zone,
                                topology,
                                processes,
                                history,
                                node -> lives.get(node).get(),
                                seed));
            }
        }
    }

    private void playSteps() throws Exception {
        long startNs = System.nanoTime();
        for (Step step : steps) {
            long dueNs = startNs + TimeUnit.MILLISECONDS.toNanos(step.atMs());
            Uninterruptibles.sleepUninterruptibly(dueNs - System.nanoTime(), TimeUnit.NANOSECONDS);
            long waitedMs = waitForSettled(step.maxUnsettled(), MAX_DELAY_MS);
            startNs += TimeUnit.MILLISECONDS.toNanos(waitedMs);
            play(step, unsettled().size() <= step.maxUnsettled());
        }
    }

    private void play(Step step, boolean mayWipe) throws Exception {
        List<String> killed = new ArrayList<>();
        for (Fault fault : step.faults()) {
            if (fault instanceof Fault.Kill kill) {
                killed.add(kill.process());
            } else {
                play(fault);
            }
        }
        kill(killed);
        for (String name : mayWipe ? step.wiped() : List.<String>of()) {
            history.record(new TallyHistory.Wipe(name, System.nanoTime()));
            processes.wipe(name);
        }
    }

    private void play(Fault fault) throws Exception {
        if (fault instanceof Fault.Drain drain) {
            leave(drain.process());
            processes.signal(drain.process(), "TERM");
        } else if (fault instanceof Fault.Pause pause) {
            leave(pause.process());
            processes.suspend(pause.process());
        } else if (fault instanceof Fault.Resume resume) {
            processes.signal(resume.process(), "CONT");
            returning.put(resume.process(), true);
        } else if (fault instanceof Fault.Restart restart) {
            if (processes.names().contains(restart.process())) {
                kill(List.of(restart.process()));
            }
            processes.start(restart.process(), false);
            returning.put(restart.process(), true);
        } else {
            proxy.bring(fault);
            updateCut(!(fault instanceof Fault.HealAll));
        }
    }

    private void kill(List<String> names) throws InterruptedException {
        for (String name : names) {
            leave(name);
            lives.get(name).incrementAndGet();
        }
        processes.kill(names);
    }

    private synchronized void leave(String name) {
        returning.remove(name);
        answersSinceNs.remove(name);
        updateDisruption();
    }

    private synchronized void updateCut(boolean isNowCut) {
        long nowNs = System.nanoTime();
        if (isCut && !isNowCut) {
            history.recordCut(new Interval(cutSinceNs, nowNs));
        } else if (!isCut && isNowCut) {
            cutSinceNs = nowNs;
        }
        isCut = isNowCut;
        updateDisruption();
    }

    private synchronized void updateDisruption() {
        boolean isNowDisrupted = isCut || answersSinceNs.size() < topology.nodes();
        long nowNs = System.nanoTime();
        if (isDisrupted && !isNowDisrupted) {
            history.recordDisruption(new Interval(disruptedSinceNs, nowNs));
        } else if (!isDisrupted && isNowDisrupted) {
            disruptedSinceNs = nowNs;
        }
        isDisrupted = isNowDisrupted;
    }

    private synchronized void endIntervals() {
        if (isDisrupted) {
            history.recordDisruption(new Interval(disruptedSinceNs, System.nanoTime()));
        }
    }

    /** Looks whether nodes that have returned answer. */
    private void watch() {
        try {
            while (running) {
                for (String name : returning.keySet()) {
                    HttpResponse<String> answer =
                            processes.call(name, "GET", "/tallies/t0", "", "");
                    if (answer != null && answer.statusCode() == 200) {
                        hasReturned(name);
                    }
                }
                Thread.sleep(LOOK_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void hasReturned(String name) {
        if (returning.remove(name) != null) {
            answersSinceNs.put(name, System.nanoTime());
            updateDisruption();
        }
    }

    private List<String> unsettled() {
        long nowNs = System.nanoTime();
        return topology.names().stream()
                .filter(
                        name -> {
                            Long sinceNs = answersSinceNs.get(name);
                            return sinceNs == null || nowNs - sinceNs < CATCH_UP_NS;
                        })
                .toList();
    }

    /** Waits until all have settled; returns how many ms that took. */
    private long awaitSettled() throws InterruptedException {
        long waitedMs = waitForSettled(0, SETTLE_TIMEOUT_MS);
        assertTrue(
                unsettled().isEmpty(),
                () -> unsettled() + " don't answer GET /tallies/t0" + processes.logs());
        return waitedMs;
    }

    /** Waits until at most so many nodes have not settled, or for a time. */
    private long waitForSettled(int maxUnsettled, long timeoutMs) throws InterruptedException {
        long startNs = System.nanoTime();
        long waitedMs = 0;
        while (unsettled().size() > maxUnsettled && waitedMs < timeoutMs) {
            Thread.sleep(LOOK_INTERVAL_MS);
            waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        }
        return waitedMs;
    }

    /** Reads all tallies at all nodes; tells those on which the nodes don't agree. */
    private List<String> disagreements() throws InterruptedException {
        List<String> found = new ArrayList<>();
        for (String tally : TallyApplication.TALLIES) {
            Map<String, String> totals = new TreeMap<>();
            for (String node : topology.names()) {
                OptionalLong total = applications.get(0).read(node, tally);
                totals.put(node, total.isPresent() ? "" + total.getAsLong() : "no answer");
            }
            boolean isAnswered = !totals.containsValue("no answer");
            if (!isAnswered || totals.values().stream().distinct().count() > 1) {
                found.add("in the end " + tally + " is " + totals);
            }
        }
        return found;
    }

    private void endProcesses() {
        processes.close();
    }

    @Override
    public void close() {
        running = false;
        applications.forEach(TallyApplication::close);
        processes.close();
        Runtime.getRuntime().removeShutdownHook(processEnd);
        proxy.close();
        Uninterruptibles.joinUninterruptibly(watcher);
    }
}
