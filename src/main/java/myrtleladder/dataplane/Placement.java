package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.configuration.Service;
import myrtleladder.loadbalancer.policy.Reweighting;
import myrtleladder.loadbalancer.policy.WeightedSchedule;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.UpstreamLoad;

/**
 * Which upstream a request goes to. Health, kept parts of prompts and the expected time to the
 * first event narrow the candidates; among those, picks go by weight / (in-flight + 1)^bias,
 * earliest deadline first.
 */
final class Placement {
    private static final double MODEL_BIAS = 3; // a clearly shorter line nearly always wins
    private static final double PLAIN_BIAS = 4;
    private static final double PANIC = 0.4;
    private static final double HOME_KEPT = 0.7;
    private static final double SECOND_KEPT = 0.15;
    private static final double SPREAD_MS = 25;
    private static final double DETOUR_MS = 40;
    private static final double READ_ANEW_COST = 3;
    private static final double WAITING_MS = 40;

    private final UpstreamDirectory directory;
    private final UpstreamLinks connections;
    private final FleetKnowledge fleet;
    private final Map<String, WeightedSchedule> schedules = new HashMap<>();
    private final ReadingSpeed speed = new ReadingSpeed();
    private int balancers = 1;

    Placement(UpstreamDirectory directory, UpstreamLinks connections, FleetKnowledge fleet) {
        this.directory = directory;
        this.fleet = fleet;
        this.connections = connections;
    }

    /**
     * An upstream with what a request would find there; {@code knownMs} is the part that requests
     * which are known of explain, and {@code alone} says that no prompt is read there.
     */
    record Pick(
            Upstream upstream,
            int tokensToRead,
            double expectedMs,
            double knownMs,
            double costMs,
            boolean alone) {}

    void balancers(int count) {
        balancers = Math.max(1, count);
    }

    ReadingSpeed speed() {
        return speed;
    }

    /** Carries out a period of the reweighting, service by service. */
    void reweight(long now) {
        for (List<Upstream> upstreams : directory.byService().values()) {
            upstreams.forEach(u -> u.derive(now, speed.msPerToken()));
            Reweighting.period(upstreams);
        }
    }

    /** Picks an upstream of a service, null if none can take the request now. */
    Pick pick(Service service, PromptParts prompt, Set<Upstream> tried, long now) {
        return pick(service, prompt, tried, InstanceRecord.UNKNOWN_WEIGHTS_VERSION, now);
    }

    /** The same for an answer that goes on: one with the weights that began it, if there is one. */
    Pick pick(Service service, PromptParts prompt, Set<Upstream> tried, long weights, long now) {
        List<Upstream> open = withWeights(open(service, tried, now), weights);
        if (open.isEmpty()) {
            return null;
        }
        return service.engine() == null
                ? pickPlain(service, open, now)
                : pickModel(service, prompt, open, now);
    }

    /** Where a request would likely go, null if that is not known; nothing is picked by it. */
    UpstreamLoad likely(Service service, PromptParts prompt, long now) {
        List<Upstream> open = open(service, Set.of(), now);
        if (service.engine() == null || open.isEmpty()) {
            return null;
        }
        Pick likely =
                Collections.min(picks(prompt, open, now), Comparator.comparingDouble(Pick::costMs));
        return UpstreamLoad.of(likely.upstream().key(), 1, likely.tokensToRead());
    }

    private List<Upstream> open(Service service, Set<Upstream> tried, long now) {
        List<Upstream> all = directory.ready(service.name());
        int healthy = 0;
        for (Upstream upstream : all) {
            healthy += upstream.ejected(now) ? 0 : 1;
        }
        boolean panic = healthy < PANIC * all.size();
        int most = connectionLimit(service);
        List<Upstream> open = new ArrayList<>();
        for (Upstream upstream : all) {
            boolean room = connections.idleTo(upstream) > 0 || connections.openTo(upstream) < most;
            if (!tried.contains(upstream) && room && (panic || !upstream.ejected(now))) {
                open.add(upstream);
            }
        }
        return open;
    }

    private static List<Upstream> withWeights(List<Upstream> open, long weights) {
        if (weights == InstanceRecord.UNKNOWN_WEIGHTS_VERSION) {
            return open;
        }
        List<Upstream> same =
                open.stream().filter(u -> u.record().weightsVersion == weights).toList();
        return same.isEmpty() ? open : same;
    }

    /** All balancers together keep below the upstream's bound. */
    private int connectionLimit(Service service) {
        return Math.max(2, (int) (0.9 * service.maxConnections() / balancers));
    }

    private WeightedSchedule schedule(Service service) {
        return schedules.computeIfAbsent(
                service.name(),
                s -> new WeightedSchedule(service.engine() == null ? PLAIN_BIAS : MODEL_BIAS));
    }

    private Pick pickPlain(Service service, List<Upstream> open, long now) {
        open.forEach(u -> u.refresh(now));
        Upstream picked = schedule(service).pick(open);
        double line = Math.max(0, picked.inFlight() + 1 - picked.capacity());
        double expected = line / picked.capacity() * picked.took();
        return new Pick(picked, 0, expected, 0, expected, false);
    }

    private Pick pickModel(Service service, PromptParts prompt, List<Upstream> open, long now) {
        List<Pick> picks = picks(prompt, open, now);
        double least = Double.POSITIVE_INFINITY;
        for (Pick pick : picks) {
            least = Math.min(least, pick.costMs());
        }
        List<Upstream> near = new ArrayList<>();
        for (Pick pick : picks) {
            if (pick.costMs() <= least + SPREAD_MS) {
                near.add(pick.upstream());
            }
        }
        Upstream picked = schedule(service).pick(near);
        return picks.stream().filter(p -> p.upstream() == picked).findFirst().orElseThrow();
    }

    private List<Pick> picks(PromptParts prompt, List<Upstream> open, long now) {
        Upstream home = ranked(open, prompt.subject(), null);
        Upstream second = ranked(open, prompt.subject(), home);
        boolean inTouch = fleet.inTouch(now);
        List<Pick> picks = new ArrayList<>();
        for (Upstream upstream : open) {
            upstream.refresh(now);
            Rank rank =
                    upstream == home ? Rank.HOME : upstream == second ? Rank.SECOND : Rank.OTHER;
            picks.add(cost(upstream, prompt, rank, inTouch, now));
        }
        return picks;
    }

    /** How likely a new subject has its home at an upstream. */
    private enum Rank {
        HOME(0, 0),
        SECOND(DETOUR_MS, 1 - SECOND_KEPT / HOME_KEPT),
        OTHER(2 * DETOUR_MS, 1);

        /** How much shorter a wait has to be for a new subject to go here rather than home. */
        private final double detourMs;

        /** The same out of touch, as a part of the time that what homes may keep takes to read. */
        private final double detourPart;

        Rank(double detourMs, double detourPart) {
            this.detourMs = detourMs;
            this.detourPart = detourPart;
        }
    }

    /**
     * The upstream at which a subject is at home, the same at every balancer that sees the same
     * ones.
     */
    private static Upstream ranked(List<Upstream> open, long subject, Upstream except) {
        Upstream best = null;
        for (Upstream upstream : open) {
            if (upstream != except && (best == null || ranksBefore(upstream, best, subject))) {
                best = upstream;
            }
        }
        return best;
    }

    /** New instances are nobody's home until they have an ordinal. */
    private static boolean ranksBefore(Upstream upstream, Upstream other, long subject) {
        if (upstream.isHome() != other.isHome()) {
            return upstream.isHome();
        }
        return upstream.rank(subject) > other.rank(subject);
    }

    /** Whether the shared part of a prompt is so long that the others should know where it is. */
    boolean worthKeeping(PromptParts prompt) {
        return prompt.shared() * speed.msPerToken() > SPREAD_MS;
    }

    /**
     * What a request costs at an upstream, itself and those behind it: what is read anew costs the
     * others there several times its time. A new subject goes to its home unless the wait there is
     * clearly longer than elsewhere. Out of touch the waits are not known, nor where others sent
     * the subject lately, so that much more speaks for the home.
     */
    private Pick cost(Upstream upstream, PromptParts prompt, Rank rank, boolean inTouch, long now) {
        int kept = upstream.memory().kept(prompt, now);
        double toReadAnew = Math.max(0, prompt.shared() - kept) * speed.msPerToken();
        Pick pick = expectation(upstream, prompt, kept, now);
        double detour =
                inTouch
                        ? Math.min(rank.detourMs, toReadAnew)
                        : rank.detourPart * HOME_KEPT * toReadAnew;
        return new Pick(
                upstream,
                pick.tokensToRead(),
                pick.expectedMs(),
                pick.knownMs(),
                pick.expectedMs() + READ_ANEW_COST * toReadAnew + detour,
                pick.alone());
    }

    private Pick expectation(Upstream upstream, PromptParts prompt, double kept, long now) {
        double toRead = prompt.total() - kept;
        double places = Math.max(0, upstream.inFlight() + 1 - upstream.capacity()) * WAITING_MS;
        double before = upstream.backlogTokens() + upstream.othersTokens(now);
        double known = speed.baseMs() + (before + toRead) * speed.msPerToken();
        double expected =
                (known + upstream.extraDelay(now) + places + upstream.waiting(now) * WAITING_MS)
                        / Math.max(0.1, 1 - upstream.errors());
        return new Pick(upstream, (int) Math.round(toRead), expected, known, expected, before == 0);
    }
}
