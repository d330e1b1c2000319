package myrtleladder.testbed.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** One balancer as a process, over all its lives: the same name, address and configuration file. */
public final class BalancerProcess implements AutoCloseable {
    private final String name;
    private final InetSocketAddress listen;
    private final List<String> command;
    private final Path home;
    private final Path config;
    private final Path log;
    private volatile Process process;

    /**
     * One that is started by {@code command} in {@code home} and told of its file by NODE_CONFIG.
     */
    public BalancerProcess(
            String name,
            InetSocketAddress listen,
            List<String> command,
            Path home,
            Path config,
            Path log) {
        this.name = name;
        this.listen = listen;
        this.command = List.copyOf(command);
        this.home = home;
        this.config = config;
        this.log = log;
    }

    /** Its name, the same in all lives. */
    public String name() {
        return name;
    }

    /** Where it listens. */
    public InetSocketAddress listen() {
        return listen;
    }

    /** Starts it; a life that still lasts is ended first. */
    public void start() throws IOException, InterruptedException {
        kill();
        ProcessBuilder builder = new ProcessBuilder(command).directory(home.toFile());
        builder.environment().put("NODE_CONFIG", config.toString());
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
    }

    /** Whether it runs, be it stopped or not. */
    public boolean alive() {
        return process != null && process.isAlive();
    }

    /**
     * What the machine says of it now; nothing if it does not run, or the machine does not tell.
     */
    public Optional<ProcessSample> sample(long at) {
        return alive() ? ProcessSample.of(at, name, process.toHandle()) : Optional.empty();
    }

    /** Sends it a signal by its name, as STOP, CONT, HUP or TERM. */
    public void signal(String signal) throws IOException, InterruptedException {
        if (alive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /**
     * Ends it at once, and waits until it is gone: a signal that it ignores would leave it behind.
     */
    public void kill() throws InterruptedException {
        if (process != null) {
            close();
            process.waitFor();
        }
    }

    /** A command that is a shell, and waits for what it started, would leave that behind. */
    @Override
    public void close() {
        if (process != null) {
            List<ProcessHandle> started = process.descendants().toList();
            process.destroyForcibly();
            started.forEach(ProcessHandle::destroyForcibly);
        }
    }
}
