package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Control nodes and balancers as separate processes on loopback addresses, started with the
 * commands of {@code deploy/system.toml}. Each machine has a loopback address of its own; the ports
 * are the same on all machines. The settings are those of the site sbdtl-myrtle.
 */
final class Fleet implements AutoCloseable {
    /** A machine with its one process. */
    final class Machine {
        final String name;
        final String role;
        final String zone;
        final String ip;
        private Process process;
        int starts;

        private Machine(String name, String role, String zone, String ip) {
            this.name = name;
            this.role = role;
            this.zone = zone;
            this.ip = ip;
        }

        boolean isCore() {
            return role.equals("control");
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".toml");
            Files.writeString(settings, settings(this, starts == 0));
            starts++;
            ProcessBuilder builder = new ProcessBuilder(command(role));
            builder.directory(root.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("MYRTLELADDER_CONFIG", settings.toString());
            Path log = folder.resolve(name + ".log");
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        int exitValue() {
            return process.exitValue();
        }

        Process process() {
            return process;
        }

        String log() throws IOException {
            return Files.readString(folder.resolve(name + ".log"));
        }
    }

    static final String[] ZONES = {"salt-lake", "howrah", "new-town"};

    final Path root;
    final Path folder;
    final int frontendPort;
    final int readinessPort;
    final int controlPort;
    final List<Machine> machines = new ArrayList<>();
    private final int internalPort;
    private final String network;

    Fleet(Path root, int cores, int edges) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("myrtleladder-review-");
        this.network =
                "127." + ThreadLocalRandom.current().nextInt(20, 250) + "."
                        + ThreadLocalRandom.current().nextInt(1, 250) + ".";
        int base = ThreadLocalRandom.current().nextInt(11_000, 29_000);
        this.frontendPort = base;
        this.readinessPort = base + 5;
        this.controlPort = base + 7;
        this.internalPort = base + 40;
        for (int i = 0; i < cores; i++) {
            String zone = ZONES[i % ZONES.length];
            machines.add(new Machine("core-" + zone + "-" + i, "control", zone, ip(10 + i)));
        }
        for (int i = 0; i < edges; i++) {
            String zone = ZONES[i % ZONES.length];
            machines.add(new Machine("edge-" + zone + "-" + i, "balancer", zone, ip(40 + i)));
        }
        for (Machine machine : machines) {
            for (int port : new int[] {frontendPort, readinessPort, controlPort, internalPort}) {
                checkFree(machine.ip, port);
            }
        }
    }

    private static void checkFree(String ip, int port) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(ip, port));
        }
    }

    /** Returns a loopback address of this deployment. */
    String ip(int host) {
        return network + host;
    }

    List<Machine> cores() {
        return machines.stream().filter(Machine::isCore).toList();
    }

    List<Machine> edges() {
        return machines.stream().filter(machine -> !machine.isCore()).toList();
    }

    void start() throws IOException {
        for (Machine machine : machines) {
            machine.start();
        }
    }

    /** Waits until every balancer answers its readiness address with 200. */
    boolean awaitReady(long timeoutMs) throws InterruptedException {
        long end = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < end) {
            boolean ready = true;
            for (Machine machine : edges()) {
                Http.Answer answer =
                        Http.call(machine.ip, readinessPort, "GET", "/readyz", "", "", 1_000);
                ready &= answer != null && answer.status == 200;
            }
            if (ready) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    /**
     * Sends an order to the control plane as the operator does: follows a 307 twice, and asks
     * another node after a failure. Returns the last answer, null if none came.
     */
    Http.Answer order(String method, String path, String headers, String body, long timeoutMs)
            throws InterruptedException {
        long end = System.nanoTime() + timeoutMs * 1_000_000;
        Http.Answer last = null;
        for (int next = 0; System.nanoTime() < end; next++) {
            String host = cores().get(next % cores().size()).ip;
            int port = controlPort;
            for (int hop = 0; hop <= 2 && host != null; hop++) {
                Http.Answer answer = Http.call(host, port, method, path, headers, body, 1_000);
                host = null;
                if (answer != null) {
                    last = answer;
                    String location = answer.header("location");
                    if (answer.status == 307 && location != null) {
                        Matcher matcher =
                                Pattern.compile("http://([0-9.]+):([0-9]+)/.*").matcher(location);
                        if (matcher.matches()) {
                            host = matcher.group(1);
                            port = Integer.parseInt(matcher.group(2));
                        }
                    } else if (answer.status < 500) {
                        return answer;
                    }
                }
            }
            Thread.sleep(200);
        }
        return last;
    }

    private String[] command(String role) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher =
                Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(deploy);
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no role " + role);
        }
        return matcher.group(1).split(" ");
    }

    private String settings(Machine machine, boolean first) throws IOException {
        StringBuilder seeds = new StringBuilder();
        for (Machine core : cores().subList(0, Math.min(3, cores().size()))) {
            seeds.append(seeds.length() == 0 ? "" : ",");
            seeds.append('"').append(core.ip).append(':').append(controlPort).append('"');
        }
        String listen;
        String data = "";
        if (machine.isCore()) {
            Path disk = folder.resolve("disk-" + machine.name);
            Files.createDirectories(disk);
            data = "data_dir = \"" + disk + "\"\n";
            listen = "control = \"" + machine.ip + ":" + controlPort + "\"\n";
        } else {
            listen =
                    "frontend = \"" + machine.ip + ":" + frontendPort + "\"\n"
                            + "readiness = \"" + machine.ip + ":" + readinessPort + "\"\n";
        }
        return "node_name = \"" + machine.name + "\"\n"
                + "role = \"" + machine.role + "\"\n"
                + "machine_class = \"" + (machine.isCore() ? "core" : "edge") + "\"\n"
                + "serves = [\"" + (machine.isCore() ? "control_plane" : "edge") + "\"]\n"
                + "ip = \"" + machine.ip + "\"\n"
                + "zone = \"" + machine.zone + "\"\n"
                + "region = \"kolkata\"\n"
                + "port_range = [" + internalPort + "," + (internalPort + 15) + "]\n"
                + "seeds = [" + seeds + "]\n"
                + "bootstrap = " + first + "\n"
                + "counts_for_quorum = " + machine.isCore() + "\n"
                + "discovery = \"self_register\"\n"
                + "entry = \"vip\"\n"
                + "heartbeat_ms = 1200\n"
                + data
                + "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
                + "\"engine\",\"stream\",\"tenants\",\"quota\"]\n"
                + "[zones]\nsalt-lake = \"kolkata\"\nhowrah = \"kolkata\"\nnew-town = \"kolkata\"\n"
                + "[listen]\n" + listen
                + "[limits]\ncpu_share = 0.75\ncpus = 1\nmemory_mb = "
                + (machine.isCore() ? 426 : 430)
                + "\nmax_fds = 4100\nbandwidth_mbps = 1000.0\ndisk_mb = "
                + (machine.isCore() ? 128 : 0)
                + "\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
                + "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n"
                + "catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
                + "config_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\nclosed = false\n"
                + "revoke_ms = 5000\nbudget_ratio = 0.2\nbudget_window_s = 10\n"
                + "budget_slack = 52\nquota_window_s = 8\nquota_overage = 0.1\n"
                + "quota_slack = 190000\nrecover_s = 12\npass_ms = 120\nagain_s = 10\n";
    }

    /** Ends all processes. */
    void kill() {
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
    }

    /** Ends all processes and removes the folder. */
    @Override
    public void close() throws IOException {
        kill();
        for (Machine machine : machines) {
            if (machine.process != null) {
                try {
                    machine.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
