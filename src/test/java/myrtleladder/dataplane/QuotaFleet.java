package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Tenant;
import myrtleladder.controlplane.QuotaPrimary;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import myrtleladder.replication.ManualScheduler;

/**
 * A fleet of balancers with one tenant on a fake clock: successive primaries, links that lose or
 * delay messages, and requests of unlike sizes that arrive at balancers drawn at random. What runs
 * is counted in a {@link TenantRunLog}, apart from what was granted.
 */
final class QuotaFleet {
    static final double OVERAGE_RATIO = 0.1;
    static final double SLACK_UNITS = 190_000;

    private static final long LINK_DELAY_MS = 1;
    private static final long TICK_INTERVAL_MS = 50;
    private static final long POLL_INTERVAL_MS = 500;
    private static final long POLL_TIMEOUT_MS = 750;
    private static final long DISCOVERY_SPREAD_MS = 800;
    private static final long STARTUP_MS = 5_000;
    private static final String TENANT = "t";

    private final ManualScheduler clock = new ManualScheduler();
    private final SplittableRandom random;
    private final RequestSizes sizes;
    private final List<Balancer> balancers = new ArrayList<>();
    private final TenantRunLog runLog = new TenantRunLog();
    private Configuration configuration;
    private Tenant tenant;
    private QuotaPrimary primary;
    private long epoch;
    private long stalledUntilMs;
    private double demandRatio;
    private double demandRatePerS;
    private int refused;
    private int received;

    /** How messages between a balancer and the primary fare. */
    static final class Link {
        boolean isCut;
        double requestLoss;
        double responseLoss;
        long responseDelayMs;
    }

    /** A balancer with its link to the primary that it follows, null if it knows none. */
    private final class Balancer {
        final String name;
        final Link link;
        final TenantQuotaClient client;
        QuotaPrimary followed;
        int count;

        Balancer(int number) {
            this("b" + number, new Link());
        }

        /** Creates the next process of a balancer. */
        Balancer(Balancer previous) {
            this(previous.name, previous.link);
        }

        private Balancer(String name, Link link) {
            this.name = name;
            this.link = link;
            clock.schedule(random.nextLong(POLL_INTERVAL_MS), this::poll);
            client = new TenantQuotaClient(this::request, random.nextLong());
            client.applyConfiguration(configuration);
        }

        void request(QuotaRequest request, long timeoutMs, Consumer<Message> callback) {
            QuotaPrimary asked = followed;
            if (asked == null) {
                callback.accept(null);
                return;
            }
            Consumer<Message> firstOutcome = onlyFirst(callback);
            clock.schedule(timeoutMs, () -> firstOutcome.accept(null));
            if (!isLost(link.requestLoss)) {
                whenHandled(() -> respond(asked, request, firstOutcome));
            }
        }

        /** Runs a task when the primary handles a message that is sent now. */
        private void whenHandled(Runnable task) {
            long handledAtMs = Math.max(clock.now() + LINK_DELAY_MS, stalledUntilMs);
            clock.schedule(handledAtMs - clock.now(), task);
        }

        private void respond(QuotaPrimary asked, QuotaRequest request, Consumer<Message> callback) {
            if (asked != primary) {
                return;
            }
            QuotaResponse response = asked.grant(request, clock.now());
            if (!isLost(link.responseLoss)) {
                clock.schedule(
                        LINK_DELAY_MS + link.responseDelayMs, () -> callback.accept(response));
            }
        }

        private boolean isLost(double share) {
            return link.isCut || random.nextDouble() < share;
        }

        void poll() {
            clock.schedule(POLL_INTERVAL_MS, this::poll);
            if (followed == null || followed != primary || link.isCut) {
                return;
            }
            long sentAtMs = clock.now();
            whenHandled(
                    () -> {
                        if (clock.now() - sentAtMs <= POLL_TIMEOUT_MS) {
                            pollPrimary();
                        }
                    });
        }

        void pollPrimary() {
            if (followed == null || followed != primary) {
                return;
            }
            count = followed.poll(name, count, clock.now());
            client.recordPollResponse(followed.epoch(), clock.now());
            client.setBalancerCount(count, followed.isCountComplete(clock.now()));
        }
    }

    /** Creates a fleet whose balancers all know the primary and each other. */
    QuotaFleet(int balancerCount, double ratePerS, RequestSizes sizes, long seed) {
        this.random = new SplittableRandom(seed);
        this.sizes = sizes;
        setLimit(ratePerS);
        demandRatePerS = ratePerS;
        primary = newPrimary(true);
        for (int number = 0; number < balancerCount; number++) {
            Balancer balancer = new Balancer(number);
            balancer.followed = primary;
            balancers.add(balancer);
        }
        clock.schedule(0, this::tick);
        clock.schedule(0, this::receiveRequest);
        clock.run(STARTUP_MS);
    }

    private QuotaPrimary newPrimary(boolean isFirst) {
        QuotaPrimary created = new QuotaPrimary(++epoch, OVERAGE_RATIO, SLACK_UNITS, clock.now());
        created.configure(configuration, isFirst, clock.now());
        return created;
    }

    /** Changes the tenant's rate and burst; all processes apply the change at once. */
    void setLimit(double ratePerS) {
        configuration =
                DataPlaneContext.configuration(
                        ("{'generation':1,'tenants':[{'name':'%s','api_keys':['k'],"
                                        + "'unit':'tokens','rate_per_s':%d,'burst':%d}]}")
                                .formatted(TENANT, (long) ratePerS, (long) ratePerS));
        tenant = configuration.tenantByApiKey("k");
        if (primary != null) {
            primary.configure(configuration, false, clock.now());
        }
        balancers.forEach(balancer -> balancer.client.applyConfiguration(configuration));
    }

    /** The links of a share of the balancers, always the same ones. */
    List<Link> links(double share) {
        return balancers.stream()
                .limit(Math.round(share * balancers.size()))
                .map(balancer -> balancer.link)
                .toList();
    }

    /** Runs with a demand in multiples of the first rate. */
    void run(long durationMs, double ratio) {
        demandRatio = ratio;
        clock.run(durationMs);
    }

    /** Ends the primary; another one follows after a gap, and each balancer finds it later. */
    void failOver(long gapMs) {
        primary = null;
        balancers.forEach(balancer -> balancer.followed = null);
        clock.schedule(
                gapMs,
                () -> {
                    primary = newPrimary(false);
                    balancers.forEach(this::discoverLater);
                });
    }

    /** Restarts all balancers without their state; the primary fails at the same time. */
    void restart(long gapMs) {
        balancers.replaceAll(balancer -> new Balancer(balancer));
        failOver(gapMs);
    }

    /** Stalls the primary: it handles nothing for a time, and then all that has arrived. */
    void stallPrimary(long durationMs) {
        stalledUntilMs = clock.now() + durationMs;
        QuotaPrimary stalled = primary;
        clock.schedule(durationMs, () -> stalled.tick(clock.now()));
    }

    private static Consumer<Message> onlyFirst(Consumer<Message> callback) {
        AtomicBoolean isCompleted = new AtomicBoolean();
        return message -> {
            if (isCompleted.compareAndSet(false, true)) {
                callback.accept(message);
            }
        };
    }

    private void discoverLater(Balancer balancer) {
        QuotaPrimary discovered = primary;
        clock.schedule(
                random.nextLong(DISCOVERY_SPREAD_MS),
                () -> {
                    balancer.followed = discovered;
                    balancer.pollPrimary();
                });
    }

    private void tick() {
        clock.schedule(TICK_INTERVAL_MS, this::tick);
        balancers.forEach(balancer -> balancer.client.advanceClock(clock.now()));
        if (primary != null && clock.now() >= stalledUntilMs) {
            primary.tick(clock.now());
        }
    }

    private void receiveRequest() {
        double unitsPerMs = Math.max(1, demandRatio * demandRatePerS) / 1_000;
        double meanIntervalMs = sizes.mean() / unitsPerMs;
        double intervalMs = -meanIntervalMs * Math.log(1 - random.nextDouble());
        clock.schedule(Math.min(TICK_INTERVAL_MS, Math.round(intervalMs)), this::receiveRequest);
        if (intervalMs > TICK_INTERVAL_MS || demandRatio == 0) {
            return;
        }
        Balancer balancer = balancers.get(random.nextInt(balancers.size()));
        double units = sizes.draw(random);
        long sentAtMs = clock.now();
        received++;
        balancer.client.advanceClock(sentAtMs);
        balancer.client.acquire(
                tenant, units, sentAtMs, waitMs -> decided(sentAtMs, units, waitMs));
    }

    private void decided(long sentAtMs, double units, long waitMs) {
        if (waitMs == 0) {
            runLog.add(sentAtMs, clock.now() + LINK_DELAY_MS, units);
        } else {
            refused++;
        }
    }

    /** Most units that ran in a window, divided by those that the first limit allows. */
    double peakRatio() {
        return runLog.peakUnits() / TenantRunLog.allowedUnits(demandRatePerS, demandRatePerS);
    }

    /** What ran. */
    TenantRunLog runLog() {
        return runLog;
    }

    long nowMs() {
        return clock.now();
    }

    /** Share of the requests so far that were refused. */
    double refusedShare() {
        return received == 0 ? 0 : (double) refused / received;
    }
}
