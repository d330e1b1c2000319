package myrtleladder.testbed.experiment;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleBiFunction;
import myrtleladder.testbed.fake.FakeClients.Outcome;
import myrtleladder.testbed.fake.RequestClass;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.process.BalancerFleet;
import myrtleladder.testbed.process.ProcessSample;
import myrtleladder.testbed.process.UpstreamSample;
import org.HdrHistogram.Histogram;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.LookupPaintScale;
import org.jfree.chart.renderer.xy.XYBlockRenderer;
import org.jfree.data.xy.DefaultXYZDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * A page with the plots of a play in it, the faults drawn over them; it needs nothing from a
 * network.
 */
final class Report {
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 320;
    private static final long SECOND = 1_000_000;
    private static final double SAMPLE_SECONDS = 0.5;
    private static final int SHADES = 20;
    private static final Color[] COLOURS = {
        new Color(0x1f6fb4), new Color(0xe08a1e), new Color(0x7f7f7f), new Color(0xc0272d)
    };
    private static final double[] PERCENTILES = {50, 99};

    private final FaultPlan plan;
    private final BalancerFleet.Result result;
    private final int cores;

    private Report(FaultPlan plan, BalancerFleet.Result result, int cores) {
        this.cores = cores;
        this.plan = plan;
        this.result = result;
    }

    static void write(
            Path file,
            Experiment experiment,
            FaultPlan plan,
            BalancerFleet.Result result,
            Verdict verdict)
            throws IOException {
        Report report = new Report(plan, result, experiment.kind().cores());
        StringBuilder page =
                new StringBuilder("<!doctype html><meta charset=utf-8><title>")
                        .append(escape(experiment.name()))
                        .append("</title><style>body{font:15px sans-serif;")
                        .append(
                                "max-width:1040px;margin:2em auto}td{padding:2px 12px 2px"
                                        + " 0}</style><h1>")
                        .append(escape(experiment.name()))
                        .append("</h1><p>")
                        .append(escape(verdict.line()))
                        .append("</p>");
        report.image(page, "First tries by second", "a second", report.outcomes());
        report.image(page, "Worth by second", "worth", report.worth(experiment.theClasses()));
        report.image(
                page, "Time to the last answer, from the planned moment", "ms", report.latencies());
        report.image(page, "Tries for a request", "tries", report.tries());
        report.image(
                page, "Load of the upstreams, each a row: white idle, red busy", report.loads());
        report.image(page, "CPU of the balancers", "cores", report.processes(Report::cores));
        report.image(
                page,
                "Resident memory of a balancer",
                "MiB",
                report.processes((before, now) -> now.residentMb()));
        report.image(
                page,
                "Open descriptors of a balancer",
                "descriptors",
                report.processes((before, now) -> (double) now.descriptors()));
        page.append("<h2>Faults</h2><table>");
        plan.steps()
                .forEach(
                        s ->
                                page.append("<tr><td>")
                                        .append(s.at() / 1e6)
                                        .append(" s<td>")
                                        .append(escape(s.fault().toString())));
        page.append("</table><h2>Broken rules</h2><table>");
        result.violations().stream()
                .limit(200)
                .forEach(
                        v ->
                                page.append("<tr><td>")
                                        .append(v.kind())
                                        .append("<td>")
                                        .append(escape(v.id()))
                                        .append("<td>")
                                        .append(escape(v.text())));
        page.append("</table><p>")
                .append(result.connections())
                .append(" connections to upstreams, ")
                .append(result.discoveryCalls())
                .append(" calls to discovery, ")
                .append(result.ended().size())
                .append(" first tries</p>");
        Files.writeString(file, page);
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private XYSeriesCollection outcomes() {
        XYSeriesCollection all = new XYSeriesCollection();
        for (Outcome outcome : Outcome.values()) {
            Map<Long, Integer> bySecond = new TreeMap<>();
            result.ended()
                    .forEach(
                            e ->
                                    bySecond.merge(
                                            e.arrival().at() / SECOND,
                                            e.outcome() == outcome ? 1 : 0,
                                            Integer::sum));
            all.addSeries(series(outcome.name().toLowerCase(java.util.Locale.ROOT), bySecond));
        }
        return all;
    }

    /**
     * Percentiles by second of the planned start, all ends counted: a stalled second is not left
     * out.
     */
    private XYSeriesCollection latencies() {
        Map<Long, Histogram> bySecond = new TreeMap<>();
        result.ended()
                .forEach(
                        e ->
                                bySecond.computeIfAbsent(
                                                e.arrival().at() / SECOND, s -> new Histogram(3))
                                        .recordValue(Math.max(0, e.took())));
        XYSeriesCollection all = new XYSeriesCollection();
        for (double p : PERCENTILES) {
            Map<Long, Double> values = new TreeMap<>();
            bySecond.forEach((s, h) -> values.put(s, h.getValueAtPercentile(p) / 1e3));
            all.addSeries(series("p" + (int) p, values));
        }
        return all;
    }

    private XYSeriesCollection tries() {
        Map<Long, double[]> bySecond = new TreeMap<>();
        result.ended()
                .forEach(
                        e -> {
                            double[] sum =
                                    bySecond.computeIfAbsent(
                                            e.arrival().at() / SECOND, s -> new double[2]);
                            sum[0] += e.tries();
                            sum[1]++;
                        });
        Map<Long, Double> mean = new TreeMap<>();
        bySecond.forEach((s, sum) -> mean.put(s, sum[0] / sum[1]));
        return new XYSeriesCollection(series("mean", mean));
    }

    private XYSeriesCollection worth(List<RequestClass> classes) {
        Map<Long, Double> asked = new TreeMap<>();
        Map<Long, Double> served = new TreeMap<>();
        result.ended()
                .forEach(
                        e -> {
                            double worth = classes.get(e.arrival().classIndex()).worth();
                            asked.merge(e.arrival().at() / SECOND, worth, Double::sum);
                            served.merge(
                                    e.arrival().at() / SECOND,
                                    e.outcome() == Outcome.SERVED ? worth : 0,
                                    Double::sum);
                        });
        XYSeriesCollection both = new XYSeriesCollection(series("asked for", asked));
        both.addSeries(series("served within its aim", served));
        return both;
    }

    /** Part of its cores that each upstream gave to requests between two samples, as a colour. */
    private XYPlot loads() {
        List<String> rows =
                result.loads().stream().map(UpstreamSample::upstream).distinct().toList();
        Map<String, UpstreamSample> before = new HashMap<>();
        List<double[]> cells = new ArrayList<>();
        for (UpstreamSample now : result.loads()) {
            UpstreamSample last = before.put(now.upstream(), now);
            if (last != null && now.at() > last.at()) {
                // A new life begins at nought; what the old one spent since the last sample is not
                // known.
                double spent =
                        now.spent() < last.spent() ? now.spent() : now.spent() - last.spent();
                cells.add(
                        new double[] {
                            now.at() / (double) SECOND,
                            rows.indexOf(now.upstream()),
                            Math.min(1, spent / cores / (now.at() - last.at()))
                        });
            }
        }
        DefaultXYZDataset data = new DefaultXYZDataset();
        data.addSeries(
                "load", new double[][] {column(cells, 0), column(cells, 1), column(cells, 2)});
        LookupPaintScale colours = new LookupPaintScale(0, 1 + 1e-9, Color.WHITE);
        for (int i = 0; i <= SHADES; i++) {
            float part = i / (float) SHADES;
            colours.add(part, new Color(1f, 1f - part * part, 1f - part));
        }
        XYBlockRenderer blocks = new XYBlockRenderer();
        blocks.setPaintScale(colours);
        blocks.setBlockWidth(SAMPLE_SECONDS);
        return new XYPlot(data, new NumberAxis("seconds"), new NumberAxis("upstream"), blocks);
    }

    private static double[] column(List<double[]> rows, int column) {
        return rows.stream().mapToDouble(r -> r[column]).toArray();
    }

    private static double cores(ProcessSample before, ProcessSample now) {
        return (now.cpuSeconds() - before.cpuSeconds()) * SECOND / (now.at() - before.at());
    }

    /**
     * Mean and greatest over the balancers that lived at a sample, by second; a start begins at
     * nought.
     */
    private XYSeriesCollection processes(ToDoubleBiFunction<ProcessSample, ProcessSample> value) {
        Map<String, ProcessSample> before = new HashMap<>();
        Map<Long, DoubleSummaryStatistics> bySample = new TreeMap<>();
        for (ProcessSample now : result.processes()) {
            ProcessSample last = before.put(now.process(), now);
            if (last != null && last.pid() == now.pid() && now.at() > last.at()) {
                bySample.computeIfAbsent(now.at() / SECOND, s -> new DoubleSummaryStatistics())
                        .accept(value.applyAsDouble(last, now));
            }
        }
        Map<Long, Double> mean = new TreeMap<>();
        Map<Long, Double> most = new TreeMap<>();
        bySample.forEach(
                (s, statistics) -> {
                    mean.put(s, statistics.getAverage());
                    most.put(s, statistics.getMax());
                });
        XYSeriesCollection both = new XYSeriesCollection(series("mean", mean));
        both.addSeries(series("greatest", most));
        return both;
    }

    private static XYSeries series(String name, Map<Long, ? extends Number> values) {
        XYSeries series = new XYSeries(name);
        values.forEach(series::add);
        return series;
    }

    private void image(StringBuilder page, String title, String unit, XYSeriesCollection data)
            throws IOException {
        XYPlot plot = ChartFactory.createXYLineChart(title, "seconds", unit, data).getXYPlot();
        for (int i = 0; i < data.getSeriesCount(); i++) {
            plot.getRenderer().setSeriesStroke(i, new BasicStroke(2));
            plot.getRenderer().setSeriesPaint(i, COLOURS[i % COLOURS.length]);
        }
        image(page, title, plot);
    }

    private void image(StringBuilder page, String title, XYPlot plot) throws IOException {
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plan.steps().stream()
                .map(s -> s.at() / 100_000)
                .distinct()
                .forEach(
                        tenths ->
                                plot.addDomainMarker(
                                        new ValueMarker(
                                                tenths / 10.0, Color.GRAY, new BasicStroke(1))));
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        boolean legend = plot.getSeriesCount() > 1;
        JFreeChart chart = new JFreeChart(title, JFreeChart.DEFAULT_TITLE_FONT, plot, legend);
        chart.setBackgroundPaint(Color.WHITE);
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        ChartUtils.writeChartAsPNG(png, chart, WIDTH, HEIGHT);
        page.append("<img alt=\"")
                .append(escape(title))
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(png.toByteArray()))
                .append("\">");
    }
}
