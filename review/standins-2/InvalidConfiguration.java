import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** The operator sends one invalid configuration of legal length, again and again until it has a clear answer. */
final class InvalidConfiguration {
    /** Below max_body_bytes, 4,194,304. */
    private static final int LENGTH = 4_000_000;
    private static final long WITHIN_MS = 30_000;

    public static void main(String[] arguments) throws IOException {
        Lab.main(Path.of(arguments[0]), InvalidConfiguration::run);
    }

    private static int run(Lab lab) throws Exception {
        lab.start(3, 0, Lab.config(7));
        Lab.pause(1500);
        AtomicInteger ends = new AtomicInteger();
        Set<String> machines = new LinkedHashSet<>();
        AtomicBoolean over = new AtomicBoolean();
        Thread platform = Lab.daemon(() -> restartEnded(lab, ends, machines, over));
        lab.note("operator: PUT /config generation 9 on 7 -> " + lab.operate("PUT", "/config", "7", Lab.config(9), 4000));
        String unit = lab.trouble ? "{}," : "\"\",";
        String invalid = Lab.config(11).replace("\"backend\":\"wuno96b\"", "\"backend\":\"unknown\"");
        StringBuilder body = new StringBuilder(invalid.substring(0, invalid.length() - 1)).append(",\"notes\":[");
        while (body.length() < LENGTH - 8) {
            body.append(unit);
        }
        body.setLength(body.length() - 1);
        body.append("]}");
        lab.note("operator sends an invalid configuration of " + body.length() + " bytes on 9: " + body.substring(0, 80) + " ... " + body.substring(body.length() - 20));
        long sentAtMs = lab.ms();
        Lab.Answer answer = lab.operate("PUT", "/config", "9", body.toString(), WITHIN_MS);
        lab.note("operator: " + (lab.ms() - sentAtMs) + " ms later: " + answer + (answer == null ? "" : " " + answer.text()));
        lab.note("operator: GET /config -> " + lab.operate("GET", "/config", null, "", 10_000));
        over.set(true);
        platform.join(2000);
        lab.note(ends + " processes ended by themselves, on " + machines.size() + " of 3 machines of the core; the rule allows two ends");
        return ends.get() >= 3 && machines.size() >= 2 ? Lab.BROKEN : Lab.HELD;
    }

    /** The platform: a process that ends is started again after a short delay. */
    private static void restartEnded(Lab lab, AtomicInteger ends, Set<String> machines, AtomicBoolean over) {
        while (!over.get()) {
            for (Lab.Node node : lab.controls) {
                if (!node.alive()) {
                    ends.incrementAndGet();
                    machines.add(node.name);
                    lab.note(node.name + " has ended by itself with " + node.process.exitValue());
                    node.bootstrap = false;
                    try {
                        Lab.pause(300);
                        node.start();
                    } catch (IOException e) {
                        lab.note("can't start " + node.name + ": " + e);
                    }
                }
            }
            Lab.pause(50);
        }
    }
}
