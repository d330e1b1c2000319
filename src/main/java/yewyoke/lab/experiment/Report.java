package yewyoke.lab.experiment;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import yewyoke.lab.fault.Plan;
import yewyoke.lab.play.Fleet;
import yewyoke.lab.stand.Clients.Outcome;

/** A page with the plots of a play in it, the faults drawn over them; it needs nothing from a network. */
final class Report {
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 320;
    private static final double[] PERCENTILES = {50, 99};

    private final Plan plan;
    private final Fleet.Result result;

    private Report(Plan plan, Fleet.Result result) {
        this.plan = plan;
        this.result = result;
    }

    static void write(Path file, Experiment experiment, Plan plan, Fleet.Result result, Verdict verdict)
            throws IOException {
        Report report = new Report(plan, result);
        StringBuilder page = new StringBuilder("<!doctype html><meta charset=utf-8><title>")
                .append(escape(experiment.name())).append("</title><style>body{font:15px sans-serif;")
                .append("max-width:1040px;margin:2em auto}td{padding:2px 12px 2px 0}</style><h1>")
                .append(escape(experiment.name())).append("</h1><p>").append(escape(verdict.line()))
                .append("</p>");
        report.image(page, "First tries by second", "a second", report.outcomes());
        report.image(page, "Time to the last answer, from the planned moment", "ms", report.latencies());
        report.image(page, "Tries for a request", "tries", report.tries());
        page.append("<h2>Faults</h2><table>");
        plan.steps().forEach(s -> page.append("<tr><td>").append(s.at() / 1e6).append(" s<td>")
                .append(escape(s.fault().toString())));
        page.append("</table><h2>Broken rules</h2><table>");
        result.violations().stream().limit(200).forEach(v -> page.append("<tr><td>").append(v.kind())
                .append("<td>").append(escape(v.id())).append("<td>").append(escape(v.text())));
        page.append("</table><p>").append(result.connections()).append(" connections to upstreams, ")
                .append(result.discoveryCalls()).append(" calls to discovery, ")
                .append(result.ended().size()).append(" first tries</p>");
        Files.writeString(file, page);
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private XYSeriesCollection outcomes() {
        XYSeriesCollection all = new XYSeriesCollection();
        for (Outcome outcome : Outcome.values()) {
            Map<Long, Integer> bySecond = new TreeMap<>();
            result.ended().forEach(e -> bySecond.merge(e.arrival().at() / 1_000_000,
                    e.outcome() == outcome ? 1 : 0, Integer::sum));
            all.addSeries(series(outcome.name().toLowerCase(java.util.Locale.ROOT), bySecond));
        }
        return all;
    }

    /** Percentiles by second of the planned start, all ends counted: a stalled second is not left out. */
    private XYSeriesCollection latencies() {
        Map<Long, Histogram> bySecond = new TreeMap<>();
        result.ended().forEach(e -> bySecond.computeIfAbsent(e.arrival().at() / 1_000_000,
                s -> new Histogram(3)).recordValue(Math.max(0, e.took())));
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
        result.ended().forEach(e -> {
            double[] sum = bySecond.computeIfAbsent(e.arrival().at() / 1_000_000, s -> new double[2]);
            sum[0] += e.tries();
            sum[1]++;
        });
        Map<Long, Double> mean = new TreeMap<>();
        bySecond.forEach((s, sum) -> mean.put(s, sum[0] / sum[1]));
        return new XYSeriesCollection(series("mean", mean));
    }

    private static XYSeries series(String name, Map<Long, ? extends Number> values) {
        XYSeries series = new XYSeries(name);
        values.forEach(series::add);
        return series;
    }

    private void image(StringBuilder page, String title, String unit, XYSeriesCollection data)
            throws IOException {
        JFreeChart chart = ChartFactory.createXYLineChart(title, "seconds", unit, data);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        for (int i = 0; i < data.getSeriesCount(); i++) {
            plot.getRenderer().setSeriesStroke(i, new BasicStroke(2));
        }
        plan.steps().stream().map(s -> s.at() / 100_000).distinct().forEach(tenths ->
                plot.addDomainMarker(new ValueMarker(tenths / 10.0, Color.GRAY, new BasicStroke(1))));
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        ChartUtils.writeChartAsPNG(png, chart, WIDTH, HEIGHT);
        page.append("<img alt=\"").append(escape(title)).append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(png.toByteArray())).append("\">");
    }
}
