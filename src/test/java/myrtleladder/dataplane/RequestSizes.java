package myrtleladder.dataplane;

import java.util.SplittableRandom;

/** Quota units of requests, drawn from several kinds of requests of unlike sizes. */
final class RequestSizes {
    /** Large document reviews, middle-sized checks, short replies and status requests. */
    static final RequestSizes MIXED =
            new RequestSizes(
                    new Kind(0.27, 17_100, 0.7, 93_000),
                    new Kind(0.20, 9_250, 0.7, 57_000),
                    new Kind(0.33, 1_630, 0.8, 4_700),
                    new Kind(0.20, 200, 0, 200));

    /** Requests of one size. */
    static final RequestSizes EQUAL = new RequestSizes(new Kind(1, 17_000, 0, 17_000));

    private final Kind[] kinds;

    /** A kind of request: its share, and the mean, spread (log-normal) and maximum of its units. */
    private record Kind(double share, double meanUnits, double spread, double maxUnits) {}

    private RequestSizes(Kind... kinds) {
        this.kinds = kinds;
    }

    /** Mean units of a request, apart from the effect of the maximum. */
    double mean() {
        double mean = 0;
        for (Kind kind : kinds) {
            mean += kind.share() * kind.meanUnits();
        }
        return mean;
    }

    double draw(SplittableRandom random) {
        double position = random.nextDouble();
        for (Kind kind : kinds) {
            position -= kind.share();
            if (position < 0) {
                return draw(kind, random);
            }
        }
        return draw(kinds[0], random);
    }

    private static double draw(Kind kind, SplittableRandom random) {
        double spread = kind.spread();
        double gaussian =
                Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                        * Math.cos(2 * Math.PI * random.nextDouble());
        double units = kind.meanUnits() * Math.exp(spread * gaussian - spread * spread / 2);
        return Math.max(1, Math.min(kind.maxUnits(), Math.round(units)));
    }
}
