package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What all cases share: the fleet, its first configuration, the exit status. */
final class Cases {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final long LONGEST_MS = 112_000;
    private static final int CORES = 3;
    private static final int EDGES = 3;

    /** A case with a running fleet. */
    interface Body {
        /** Plays the case and returns the exit status. */
        int play(Fleet fleet, Trace trace) throws Exception;
    }

    private Cases() {}

    /** Returns whether the case is to be played with its disruption. */
    static boolean withTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /**
     * Starts a fleet with a configuration, plays a case and ends the process.
     *
     * @param arguments the root of the repository and the file of the record
     */
    static void run(String[] arguments, String configuration, Body body) {
        Upstream.startThread(Cases::endInTime);
        int code = COULD_NOT_RUN;
        try (Trace trace = new Trace(Path.of(arguments[1]));
                Fleet fleet = new Fleet(Path.of(arguments[0]).toAbsolutePath(), CORES, EDGES)) {
            Runtime.getRuntime().addShutdownHook(new Thread(fleet::kill));
            if (start(fleet, trace, configuration)) {
                code = body.play(fleet, trace);
            }
        } catch (Exception e) {
            e.printStackTrace();
            code = COULD_NOT_RUN;
        }
        System.exit(code);
    }

    private static void endInTime() {
        try {
            Thread.sleep(LONGEST_MS);
            System.out.println("the case took too long");
            System.exit(COULD_NOT_RUN);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean start(Fleet fleet, Trace trace, String configuration) throws Exception {
        fleet.start();
        Thread.sleep(1_500);
        Http.Answer answer =
                fleet.order("PUT", "/config", "If-Match: 0\r\n", configuration, 20_000);
        trace.line("operator gets " + (answer == null ? "no answer" : answer.status));
        if (answer != null && answer.status == 200 && fleet.awaitReady(15_000)) {
            return true;
        }
        System.out.println("the fleet does not serve");
        for (Fleet.Machine machine : fleet.machines) {
            System.out.println(machine.name + ": " + machine.log());
        }
        return false;
    }

    /** Starts upstreams of the certificate service; the first ones of them are in trouble. */
    static List<Upstream> upstreams(
            Fleet fleet, Trace trace, int count, int queue, int inTrouble, Upstream.Trouble trouble)
            throws Exception {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Upstream.Trouble own =
                    withTrouble() && i < inTrouble ? trouble : new Upstream.Trouble() {};
            upstreams.add(new Upstream(fleet, "certdesk", i, queue, 0.004, trace, own));
        }
        Thread.sleep(5_000);
        return upstreams;
    }

    /** Prints the result and returns the exit status. */
    static int result(Trace trace, int served, int broken, String text) {
        trace.line(text);
        System.out.println(text);
        return served == 0 ? COULD_NOT_RUN : broken > 0 ? BROKEN : HELD;
    }
}
