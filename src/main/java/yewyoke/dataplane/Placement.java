package yewyoke.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yewyoke.Reweighting;
import yewyoke.WeightedSchedule;
import yewyoke.configuration.Service;
import yewyoke.message.InstanceRecord;

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
    private static final double FIRST_MS_PER_TOKEN = 0.016;
    private static final double LEAST_MS_PER_TOKEN = 0.002;
    private static final double MOST_MS_PER_TOKEN = 0.2;
    private static final double WAITING_MS = 40;
    private static final int MEASURED_TOKENS = 1_500;
    private static final double SPEED_STEP = 0.03;
    private static final double BASE_MS = 8;

    private final UpstreamDirectory directory;
    private final UpstreamLinks connections;
    private final Map<String, WeightedSchedule> schedules = new HashMap<>();
    private double msPerToken = FIRST_MS_PER_TOKEN;
    private int balancers = 1;

    Placement(UpstreamDirectory directory, UpstreamLinks connections) {
        this.directory = directory;
        this.connections = connections;
    }

    /**
     * An upstream with what a request would find there; {@code ownMs} is the part that our requests
     * explain.
     */
    record Pick(Upstream upstream, int tokensToRead, double expectedMs, double ownMs) {}

    void balancers(int count) {
        balancers = Math.max(1, count);
    }

    double msPerToken() {
        return msPerToken;
    }

    /** Carries out a period of the reweighting, service by service. */
    void reweight(long now) {
        for (List<Upstream> upstreams : directory.byService().values()) {
            upstreams.forEach(u -> u.derive(now, msPerToken));
            Reweighting.period(upstreams);
        }
    }

    /** Learns the speed at which prompts are read from an answer that began at an idle upstream. */
    void learnSpeed(int tokens, double tookMs) {
        if (tokens < MEASURED_TOKENS) {
            return;
        }
        double sample = Math.max(0, tookMs - BASE_MS) / tokens;
        // Steps lead to the median: what others had cached or had under way there spoils single
        // samples.
        double step = sample > msPerToken ? 1 + SPEED_STEP : 1 - SPEED_STEP;
        msPerToken = Math.max(LEAST_MS_PER_TOKEN, Math.min(MOST_MS_PER_TOKEN, msPerToken * step));
    }

    /** Picks an upstream of a service, null if none can take the request now. */
    Pick pick(Service service, PromptParts prompt, Set<Upstream> tried, long now) {
        return pick(service, prompt, tried, InstanceRecord.UNKNOWN_WEIGHTS, now);
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
        if (weights == InstanceRecord.UNKNOWN_WEIGHTS) {
            return open;
        }
        List<Upstream> same = open.stream().filter(u -> u.record().weights == weights).toList();
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
        return new Pick(picked, 0, line / picked.capacity() * picked.took(), 0);
    }

    private Pick pickModel(Service service, PromptParts prompt, List<Upstream> open, long now) {
        Upstream home = ranked(open, prompt.subject(), null);
        Upstream second = ranked(open, prompt.subject(), home);
        List<Pick> picks = new ArrayList<>();
        double least = Double.POSITIVE_INFINITY;
        for (Upstream upstream : open) {
            upstream.refresh(now);
            Pick pick =
                    expectation(
                            upstream,
                            prompt,
                            upstream == home ? HOME_KEPT : upstream == second ? SECOND_KEPT : 0,
                            now);
            least = Math.min(least, pick.expectedMs());
            picks.add(pick);
        }
        List<Upstream> near = new ArrayList<>();
        for (Pick pick : picks) {
            if (pick.expectedMs() <= least + SPREAD_MS) {
                near.add(pick.upstream());
            }
        }
        Upstream picked = schedule(service).pick(near);
        return picks.stream().filter(p -> p.upstream() == picked).findFirst().orElseThrow();
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

    private Pick expectation(Upstream upstream, PromptParts prompt, double keptByOthers, long now) {
        int total = prompt.total();
        int shared =
                prompt.tokens().length == 0
                        ? 0
                        : total - prompt.tokens()[prompt.tokens().length - 1];
        double kept = Math.max(upstream.memory().kept(prompt, now), keptByOthers * shared);
        double toRead = total - kept;
        double places = Math.max(0, upstream.inFlight() + 1 - upstream.capacity()) * WAITING_MS;
        double own = BASE_MS + (upstream.backlogTokens() + toRead) * msPerToken;
        double expected =
                own + upstream.extraDelay(now) + places + upstream.waiting(now) * WAITING_MS;
        return new Pick(
                upstream,
                (int) Math.round(toRead),
                expected / Math.max(0.1, 1 - upstream.errors()),
                own);
    }
}
