package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

/**
 * Measurements of memory and time at several sizes, and the cost of one more unit of size, for
 * docs/CAPACITY.md.
 */
public final class CapacityMeasurements {
    private static final int COLLECTIONS = 4;
    private static final double MIN_DIVISOR = 1e-9;

    /** A size and the value measured at it. */
    private record Point(double size, double value) {}

    private final String name;
    private final String unit;
    private final List<Point> points = new ArrayList<>();

    /** Creates an empty series with the name and the unit of its values. */
    public CapacityMeasurements(String name, String unit) {
        this.name = name;
        this.unit = unit;
    }

    /** Adds a measurement. */
    public void add(double size, double value) {
        points.add(new Point(size, value));
    }

    /** Slope of the least-squares line: the cost of one more unit of size. */
    public double slope() {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (Point p : points) {
            covariance += (p.size - meanSize) * (p.value - meanValue);
            variance += (p.size - meanSize) * (p.size - meanSize);
        }
        return covariance / Math.max(variance, MIN_DIVISOR);
    }

    /** Prints a row of the table in docs/CAPACITY.md. */
    public void print() {
        StringBuilder line = new StringBuilder("capacity | " + name + " | ");
        for (Point p : points) {
            line.append(String.format(Locale.ROOT, "%.0f: %.2f, ", p.size, p.value));
        }
        System.out.println(
                line + unit + " | slope " + String.format(Locale.ROOT, "%.4f", slope()) + " |");
    }

    /** Heap in bytes that an object occupies, measured after garbage collections. */
    public static long retainedHeapBytes(Supplier<Object> supplier) {
        long before = usedHeapBytes();
        Object retained = supplier.get();
        long after = usedHeapBytes();
        java.lang.ref.Reference.reachabilityFence(retained);
        return after - before;
    }

    /** Heap in use after garbage collections, in bytes. */
    private static long usedHeapBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
