package myrtleladder.testbed.fake;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What clients ask for: drawn ahead, so arrivals wait for no answer and are the same in each run of
 * a seed.
 *
 * @param perSecond mean rate of first tries
 * @param keys how many things requests are about
 * @param skew the nth key is asked for in proportion to n to the minus this
 */
public record TrafficProfile(double perSecond, List<RequestClass> classes, int keys, double skew) {

    /**
     * A first try at its time; {@code work} is what it costs an upstream, in microseconds at speed
     * 1.
     */
    public record Arrival(long at, int number, int classIndex, String key, double work) {}

    /**
     * Draws the arrivals of so many microseconds: exponential gaps, work evenly within half of the
     * mean.
     */
    public List<Arrival> draw(long seed, long micros) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] upTo = new double[keys];
        double sum = 0;
        for (int k = 0; k < keys; k++) {
            sum += Math.pow(k + 1, -skew);
            upTo[k] = sum;
        }
        List<Arrival> arrivals = new ArrayList<>();
        double at = 0;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) * 1e6 / perSecond;
            if (at >= micros) {
                return arrivals;
            }
            int cls = classOf(random.nextDouble());
            int found = Arrays.binarySearch(upTo, random.nextDouble() * sum);
            String key = "k" + (found < 0 ? -found - 1 : found);
            double work = classes.get(cls).work() * (0.5 + random.nextDouble());
            arrivals.add(new Arrival((long) at, arrivals.size(), cls, key, work));
        }
    }

    private int classOf(double x) {
        double left = x * classes.stream().mapToDouble(RequestClass::share).sum();
        for (int c = 0; c < classes.size() - 1; c++) {
            left -= classes.get(c).share();
            if (left < 0) {
                return c;
            }
        }
        return classes.size() - 1;
    }
}
