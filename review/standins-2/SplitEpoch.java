import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The machine of the primary is cut off from the two other core machines, and the links heal one after the other. */
final class SplitEpoch {
    private static final long WORK_MS = 95_000;

    /** How long the link between the primary and the other replica is cut: from 830 ms in steps to 910 ms. */
    private static final long FIRST_HEAL_MS = 830;
    private static final long HEAL_STEP_MS = 20;

    /** How long the link between the primary and the witness is cut. */
    private static final long SECOND_HEAL_MS = 2000;

    /** When the operator sends its change, and how long it waits after the acknowledgement until it reads. */
    private static final long SEND_MS = 800;
    private static final long CONFIG_MS = 2000;

    /** The shortest time after which TCP sends again what a cut has swallowed. */
    private static final long RETRANSMISSION_MS = 200;


    private final Lab lab;
    private final Link[][] links = new Link[3][3];
    private long generation = 7;

    private SplitEpoch(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) throws IOException {
        Lab.main(Path.of(arguments[0]), lab -> new SplitEpoch(lab).run());
    }

    private int run() throws Exception {
        lab.prepare(3, 0);
        for (int i = 0; i < 3; i++) {
            StringBuilder calls = new StringBuilder("[internal.call]\n");
            for (int j = 0; j < 3; j++) {
                if (i != j) {
                    String proxy = lab.net + (100 + 10 * i + j);
                    links[i][j] = new Link(proxy, lab.firstPort, lab.controls.get(j).ip);
                    calls.append('"').append(lab.controls.get(j).ip).append(':').append(lab.firstPort).append("\" = \"")
                            .append(proxy).append(':').append(lab.firstPort).append("\"\n");
                }
            }
            lab.controls.get(i).internal = calls.toString();
        }
        lab.startAll(Lab.config(generation));
        Lab.pause(1500);
        for (int trial = 0; lab.ms() < WORK_MS && (lab.trouble || trial < 6); trial++) {
            lab.note("--- cut " + (trial + 1));
            if (!cutAndChange(FIRST_HEAL_MS + trial % 5 * HEAL_STEP_MS)) {
                return Lab.BROKEN;
            }
        }
        return Lab.HELD;
    }

    private record Status(String state, long epoch, List<Integer> replicas) {}

    private Status status(int i) {
        try {
            String text = Lab.call(lab.controls.get(i).ip, lab.controlPort, "GET", "/status", Map.of(), new byte[0], 300).text();
            Matcher state = Pattern.compile("\"state\":\"(\\w+)\"").matcher(text);
            Matcher epoch = Pattern.compile("\"epoch\":(\\d+)").matcher(text);
            Matcher view = Pattern.compile("replicas \\[([^]]*)]").matcher(text);
            List<Integer> replicas = new ArrayList<>();
            if (view.find()) {
                for (String member : view.group(1).split(", ")) {
                    for (int j = 0; j < 3; j++) {
                        if (member.startsWith(lab.controls.get(j).ip + ":")) {
                            replicas.add(j);
                        }
                    }
                }
            }
            return state.find() && epoch.find() ? new Status(state.group(1), Long.parseLong(epoch.group(1)), replicas) : null;
        } catch (IOException e) {
            return null;
        }
    }

    private int primary(long withinMs) throws IOException {
        long until = lab.ms() + withinMs;
        while (lab.ms() < until) {
            for (int i = 0; i < 3; i++) {
                Status status = status(i);
                if (status != null && status.state.equals("PRIMARY") && status.replicas.size() == 2) {
                    return i;
                }
            }
            Lab.pause(50);
        }
        throw new IOException("no primary");
    }

    /** Returns false if an acknowledged configuration is not in force later. */
    private boolean cutAndChange(long firstHealMs) throws Exception {
        int z = primary(10_000);
        Status before = status(z);
        int x = before.replicas.get(0) == z ? before.replicas.get(1) : before.replicas.get(0);
        int w = 3 - z - x;
        lab.note("primary " + name(z) + ", other replica " + name(x) + ", witness " + name(w) + ", epoch " + before.epoch);
        long cutAtMs = lab.ms();
        if (lab.trouble) {
            for (int other : new int[] {x, w}) {
                links[z][other].cut();
                links[other][z].cut();
            }
            lab.note("cut " + name(z) + " from the two others");
        }
        Order order = new Order("operator", generation + 2, x, w);
        sleepUntil(cutAtMs + SEND_MS);
        order.start();
        sleepUntil(cutAtMs + firstHealMs);
        links[z][x].heal();
        lab.note("link between " + name(z) + " and " + name(x) + " is whole, calls of the first go on after " + (lab.ms() - cutAtMs) + " ms");
        sleepUntil(cutAtMs + firstHealMs + RETRANSMISSION_MS);
        links[x][z].heal();
        lab.note("calls of the other go on after " + (lab.ms() - cutAtMs) + " ms");
        sleepUntil(cutAtMs + SECOND_HEAL_MS);
        links[z][w].heal();
        links[w][z].heal();
        lab.note("all links are whole again after " + (lab.ms() - cutAtMs) + " ms");
        order.thread.join();
        Lab.pause(CONFIG_MS + 500);
        Lab.Answer read = lab.operate("GET", "/config", null, "", 8000);
        long inForce = generationOf(read);
        lab.note("operator: GET /config -> " + read + ", generation " + inForce);
        if (read == null || read.status != 200) {
            throw new IOException("the configuration can't be read");
        }
        boolean lost = order.acknowledged && inForce < order.next;
        if (lost) {
            lab.note("generation " + order.next + " was acknowledged, generation " + inForce + " is in force");
        }
        generation = inForce;
        return !lost;
    }

    private void sleepUntil(long atMs) {
        Lab.pause(Math.max(0, atMs - lab.ms()));
    }

    private String name(int i) {
        return lab.controls.get(i).name;
    }

    /** An operator that sends one change to the machines that it reaches until it has a clear answer. */
    private final class Order implements Runnable {
        final String operator;
        final long next;
        final int[] reached;
        final Thread thread = new Thread(this);
        boolean acknowledged;

        Order(String operator, long next, int... reached) {
            this.operator = operator;
            this.next = next;
            this.reached = reached;
        }

        void start() {
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void run() {
            String body = Lab.config(next);
            long until = lab.ms() + 3000;
            long pauseMs = 5;
            lab.note(operator + " sends PUT /config generation " + next + " with If-Match " + generation);
            for (int call = 0; lab.ms() < until; call++) {
                int i = reached[call % reached.length];
                try {
                    Lab.Answer answer = put(lab.controls.get(i).ip, body);
                    Matcher location = Pattern.compile("http://([^:/]+):.*").matcher(answer.header("location"));
                    if (answer.status == 307 && location.matches()) {
                        answer = put(location.group(1), body);
                    }
                    if (answer.status == 200 || answer.status == 412) {
                        acknowledged = answer.status == 200;
                        lab.note(operator + " got " + answer.status + " " + answer.text() + ", first called " + name(i) + ", for generation " + next);
                        return;
                    }
                } catch (IOException e) {
                    // the next call goes to another machine
                }
                Lab.pause(pauseMs);
                pauseMs = Math.min(40, pauseMs + 1);
            }
            lab.note(operator + " got no clear answer for generation " + next);
        }
    }

    private Lab.Answer put(String ip, String body) throws IOException {
        return Lab.call(ip, lab.controlPort, "PUT", "/config", Map.of("If-Match", Long.toString(generation), "Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8), 1000);
    }

    private static long generationOf(Lab.Answer answer) {
        Matcher matcher = Pattern.compile("\"generation\":(\\d+)").matcher(answer == null ? "" : answer.text());
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }
}
