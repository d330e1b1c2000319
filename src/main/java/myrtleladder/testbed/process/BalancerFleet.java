package myrtleladder.testbed.process;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.StartFailed;
import myrtleladder.testbed.checker.Checker;
import myrtleladder.testbed.checker.Rules;
import myrtleladder.testbed.checker.Violation;
import myrtleladder.testbed.fake.FakeClients;
import myrtleladder.testbed.fake.FakeDiscoveryServer;
import myrtleladder.testbed.fake.FakeDiscoveryServer.Entry;
import myrtleladder.testbed.fake.FakeDiscoveryServer.State;
import myrtleladder.testbed.fake.FakeFrontend;
import myrtleladder.testbed.fake.FakeUpstreamServer;
import myrtleladder.testbed.fake.TestbedClock;
import myrtleladder.testbed.fake.TrafficProfile;
import myrtleladder.testbed.fake.TrafficProfile.Arrival;
import myrtleladder.testbed.fake.UpstreamProfile;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.proxy.FaultProxy;

/**
 * Balancers as processes, and all that surrounds them, on the loopback of this machine. Each way
 * from a balancer to an upstream goes through a relay, so that it can fail alone. Closing ends
 * every process.
 */
public final class BalancerFleet implements AutoCloseable {
    private static final long CALL_MICROS = 20_000;
    private static final long LONGEST_CALL_WAIT = 1_000_000;
    private static final long NOTICE_MICROS = 1_000_000;
    private static final long LOOK_MS = 20;
    private static final long SAMPLE_MS = 500;

    private final Layout layout;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final TestbedClock clock = new TestbedClock();
    private final Checker checker;
    private final FaultProxy relay;
    private final FakeFrontend frontend = new FakeFrontend(NOTICE_MICROS);
    private final FakeDiscoveryServer discovery;
    private final FakeClients clients;
    private final Map<String, BalancerProcess> balancers = new LinkedHashMap<>();
    private final Map<String, FakeUpstreamServer> upstreams = new LinkedHashMap<>();
    private final List<Ended> ended = new ArrayList<>();
    private final List<ProcessSample> processes = new ArrayList<>();
    private final List<UpstreamSample> loads = new ArrayList<>();

    /** Ctrl-C, too, ends what was started. */
    private final Thread atExit = new Thread(this::killAll);

    /** Faults of processes wait for the machine; on the event loop they would make the lab late. */
    private final ScheduledExecutorService hand = Executors.newSingleThreadScheduledExecutor();

    /** Why the hand could not do what it had to; what the play tells is worth nothing then. */
    private final AtomicReference<RuntimeException> trouble = new AtomicReference<>();

    /**
     * What a fleet is made of. Balancers are named b0, b1 and so on, upstreams u0, u1 and so on.
     *
     * @param warmUp so many microseconds of like traffic come first and do not count: a cold lab is
     *     late
     * @param command starts one balancer, in the folder {@code home}; {@code {name}} stands for its
     *     name
     * @param folder takes configurations and logs
     */
    public record Layout(
            int balancers,
            int upstreams,
            UpstreamProfile kind,
            Rules rules,
            TrafficProfile traffic,
            FakeClients.Retries retries,
            LinkFault links,
            long seed,
            long warmUp,
            List<String> command,
            Path home,
            Path folder) {}

    /** What became of one first try; times are microseconds. */
    public record Ended(
            Arrival arrival, FakeClients.Outcome outcome, long took, int tries, long sentLate) {}

    /** How far a play has come: its time in microseconds, requests ended, rules broken. */
    public record Progress(long at, int ended, int violations) {}

    /** What came of a play. */
    public record Result(
            List<Ended> ended,
            List<Violation> violations,
            long discoveryCalls,
            long connections,
            List<ProcessSample> processes,
            List<UpstreamSample> loads) {
        /** Part of the first tries that ended so. */
        public double part(FakeClients.Outcome outcome) {
            return ended.stream().filter(e -> e.outcome() == outcome).count()
                    / (double) ended.size();
        }

        /** How late the lab itself sent, in microseconds, at a part of all first tries. */
        public long lateness(double part) {
            long[] late = ended.stream().mapToLong(Ended::sentLate).sorted().toArray();
            return late[(int) Math.min(late.length - 1, part * late.length)];
        }
    }

    /** Sets all up, and starts the processes. */
    public BalancerFleet(Layout layout) throws IOException, OperatorError, InterruptedException {
        this.layout = layout;
        this.checker = new Checker(layout.rules());
        this.relay = new FaultProxy(layout.seed(), layout.links());
        this.discovery =
                new FakeDiscoveryServer(loop, clock, checker, CALL_MICROS, LONGEST_CALL_WAIT);
        this.clients =
                new FakeClients(
                        loop,
                        clock,
                        checker,
                        frontend,
                        layout.traffic().classes(),
                        layout.retries(),
                        layout.rules().answerSlackUs() + 1_000,
                        layout.seed(),
                        (a, o, took, tries, late) -> ended.add(new Ended(a, o, took, tries, late)));
        List<String> names = new ArrayList<>();
        for (int b = 0; b < layout.balancers(); b++) {
            names.add("b" + b);
        }
        List<Entry> entries = new ArrayList<>();
        for (int u = 0; u < layout.upstreams(); u++) {
            entries.add(upstream("u" + u, layout.rules().slowStartUs(), names));
        }
        loop.submit(() -> discovery.change(entries)).syncUninterruptibly();
        Runtime.getRuntime().addShutdownHook(atExit);
        boolean up = false;
        try {
            for (String name : names) {
                startBalancer(name, names.indexOf(name));
            }
            loop.execute(clients::watchHealth);
            await(
                    () ->
                            frontend.complete()
                                    || !balancers.values().stream()
                                            .allMatch(BalancerProcess::alive));
            up = loop.submit(frontend::complete).syncUninterruptibly().getNow();
        } finally {
            if (!up) {
                close();
            }
        }
        if (!up) {
            throw new StartFailed(layout.folder());
        }
    }

    /**
     * Starts an upstream with a way to it for each balancer; waits for the event loop, so not on
     * it.
     */
    private Entry upstream(String id, long age, List<String> names) {
        FakeUpstreamServer server =
                loop.submit(
                                () ->
                                        new FakeUpstreamServer(
                                                id,
                                                layout.kind(),
                                                age,
                                                layout.seed() + id.hashCode(),
                                                loop,
                                                clock,
                                                checker,
                                                clients::workOf))
                        .syncUninterruptibly()
                        .getNow();
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (String name : names) {
            addresses.put(name, relay.stream(name, id, server.openFor(name)));
        }
        loop.submit(() -> upstreams.put(id, server)).syncUninterruptibly();
        long startedMs = age >= layout.rules().slowStartUs() ? 0 : clock.unixMillis(clock.micros());
        return new Entry(id, addresses, "zone", "kind", State.READY, startedMs);
    }

    /**
     * An address of the loopback that nobody else uses. On a common one, the port of a balancer
     * that is down can be taken by somebody's connection.
     */
    private static String ownAddress(int position) {
        long pid = ProcessHandle.current().pid();
        return "127." + (1 + pid / 250 % 250) + "." + (1 + pid % 250) + "." + (1 + position);
    }

    private void startBalancer(String name, int position) throws IOException, InterruptedException {
        InetSocketAddress listen;
        try (ServerSocket free = new ServerSocket()) {
            free.bind(new InetSocketAddress(ownAddress(position), 0));
            listen = (InetSocketAddress) free.getLocalSocketAddress();
        }
        String known =
                loop.submit(() -> discovery.json(name, true, 0)).syncUninterruptibly().getNow();
        Path config = layout.folder().resolve(name + ".json");
        InetSocketAddress list = relay.stream(name, "discovery", discovery.openFor(name));
        Files.writeString(
                config,
                new BalancerConfig(
                                name,
                                listen,
                                list,
                                layout.seed() + position,
                                position,
                                layout.balancers(),
                                1_024,
                                known,
                                layout.traffic().classes(),
                                layout.rules())
                        .json());
        List<String> command =
                layout.command().stream().map(a -> a.replace("{name}", name)).toList();
        BalancerProcess process =
                new BalancerProcess(
                        name,
                        listen,
                        command,
                        layout.home(),
                        config,
                        layout.folder().resolve(name + ".log"));
        balancers.put(name, process);
        frontend.add(name, listen);
        process.start();
    }

    /** Waits until something is so, as seen from the event loop. */
    private void await(BooleanSupplier so) throws InterruptedException {
        Promise<Void> done = loop.newPromise();
        var look =
                loop.scheduleWithFixedDelay(
                        () -> {
                            if (so.getAsBoolean()) {
                                done.trySuccess(null);
                            }
                        },
                        0,
                        LOOK_MS,
                        TimeUnit.MILLISECONDS);
        try {
            done.sync();
        } finally {
            look.cancel(false);
        }
    }

    /** Plays the traffic for so long, under a plan, up to the end of the last request. */
    public Result play(long micros, FaultPlan plan) throws InterruptedException {
        return play(micros, plan, progress -> {});
    }

    /** The same, and tells twice a second how far it has come. */
    public Result play(long micros, FaultPlan plan, Consumer<Progress> listener)
            throws InterruptedException {
        if (layout.warmUp() > 0) {
            List<Arrival> before =
                    layout.traffic().draw(~layout.seed(), layout.warmUp()).stream()
                            .map(
                                    a ->
                                            new Arrival(
                                                    a.at(),
                                                    -1 - a.number(),
                                                    a.classIndex(),
                                                    a.key(),
                                                    a.work()))
                            .toList();
            loop.execute(() -> clients.play(before, clock.micros()));
            await(clients::done);
            loop.submit(ended::clear).syncUninterruptibly();
        }
        // What a cold lab saw tells of the lab.
        int warmUpBroke =
                loop.submit(() -> checker.violations().size()).syncUninterruptibly().getNow();
        List<Arrival> arrivals = layout.traffic().draw(layout.seed(), micros);
        long from = clock.micros();
        loop.execute(() -> clients.play(arrivals, from));
        for (FaultPlan.Step step : plan.steps()) {
            hand.schedule(
                    byHand(() -> bring(step.fault())),
                    from + step.at() - clock.micros(),
                    TimeUnit.MICROSECONDS);
        }
        hand.scheduleAtFixedRate(
                byHand(() -> listener.accept(sample(from))), 0, SAMPLE_MS, TimeUnit.MILLISECONDS);
        await(() -> clients.done() || trouble.get() != null);
        if (trouble.get() != null) {
            throw trouble.get();
        }
        return loop.submit(
                        () -> {
                            checker.checkAllDeadlines(clock.micros());
                            long connections =
                                    upstreams.values().stream()
                                            .mapToLong(FakeUpstreamServer::accepted)
                                            .sum();
                            List<Violation> found = checker.violations();
                            return new Result(
                                    List.copyOf(ended),
                                    found.subList(warmUpBroke, found.size()),
                                    discovery.calls(),
                                    connections,
                                    List.copyOf(processes),
                                    List.copyOf(loads));
                        })
                .syncUninterruptibly()
                .getNow();
    }

    /** What a scheduled task throws, nobody hears of. */
    private Runnable byHand(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                trouble.compareAndSet(null, e);
            }
        };
    }

    private Progress sample(long from) {
        long at = clock.micros() - from;
        List<ProcessSample> now =
                balancers.values().stream().flatMap(b -> b.sample(at).stream()).toList();
        return loop.submit(
                        () -> {
                            processes.addAll(now);
                            upstreams.forEach(
                                    (id, u) ->
                                            loads.add(
                                                    new UpstreamSample(at, id, u.model().spent())));
                            return new Progress(at, ended.size(), checker.violations().size());
                        })
                .syncUninterruptibly()
                .getNow();
    }

    /**
     * Brings a fault about now; a process is named, or one direction of a link from balancer to
     * upstream.
     */
    public void bring(Fault fault) {
        try {
            if (fault instanceof Fault.Kill f && balancers.containsKey(f.process())) {
                kill(f.process());
            } else if (fault instanceof Fault.Restart f && balancers.containsKey(f.process())) {
                kill(f.process());
                balancers.get(f.process()).start();
            } else if (fault instanceof Fault.Pause f && balancers.containsKey(f.process())) {
                balancers.get(f.process()).signal("STOP");
            } else if (fault instanceof Fault.Resume f && balancers.containsKey(f.process())) {
                balancers.get(f.process()).signal("CONT");
            } else if (fault instanceof Fault.Drain f && balancers.containsKey(f.process())) {
                balancers.get(f.process()).signal("TERM");
            } else if (fault instanceof Fault.Restart f) {
                loop.submit(() -> upstreams.get(f.process()).stop()).syncUninterruptibly();
                Entry cold = upstream(f.process(), 0, List.copyOf(balancers.keySet()));
                loop.submit(() -> discovery.change(List.of(cold))).syncUninterruptibly();
            } else if (fault instanceof Fault.Link
                    || fault instanceof Fault.Heal
                    || fault instanceof Fault.HealAll
                    || fault instanceof Fault.Reset) {
                relay.bring(fault);
            } else {
                loop.submit(() -> toUpstream(fault)).syncUninterruptibly();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Work on an upstream's machine begins, or has ended: nobody may send there meanwhile. */
    public void out(String upstream, boolean begins) {
        loop.submit(() -> checker.setUnderMaintenance(upstream, begins)).syncUninterruptibly();
    }

    private void kill(String balancer) throws InterruptedException {
        loop.submit(() -> frontend.dies(balancer)).syncUninterruptibly();
        balancers.get(balancer).kill();
        loop.submit(() -> frontend.isDead(balancer)).syncUninterruptibly();
    }

    private void toUpstream(Fault fault) {
        if (fault instanceof Fault.Kill f) {
            upstreams.get(f.process()).stop();
        } else if (fault instanceof Fault.Pause f) {
            upstreams.get(f.process()).hang(true);
        } else if (fault instanceof Fault.Resume f) {
            upstreams.get(f.process()).hang(false);
        } else if (fault instanceof Fault.Drain f) {
            upstreams.get(f.process()).model().drain();
            discovery.retire(f.process());
        } else {
            throw new IllegalArgumentException(
                    "no such process, or no such fault of one: " + fault);
        }
    }

    /** Ends all that was started, at once. */
    @Override
    public void close() {
        hand.shutdownNow();
        killAll();
        Runtime.getRuntime().removeShutdownHook(atExit);
        relay.close();
        loop.submit(
                        () -> {
                            upstreams.values().forEach(FakeUpstreamServer::stop);
                            discovery.stop();
                        })
                .syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void killAll() {
        balancers.values().forEach(BalancerProcess::close);
    }
}
