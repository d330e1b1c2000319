package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Signal handling and startup of the balancer as a separate process. */
class ProcessTest {
    private static final int SIGTERM_EXIT = 128 + 15;

    @TempDir Path folder;

    private Path config(String discovery) throws Exception {
        return config("127.0.0.1:0", discovery);
    }

    private Path config(String listen, String discovery) throws Exception {
        return Files.writeString(
                folder.resolve("config.json"),
                "{\"listen\":\""
                        + listen
                        + "\",\"discovery\":\""
                        + discovery
                        + "\",\"seed\":\"1\",\"known\":{\"version\":7,\"full\":true,\"servers\":[]},"
                        + "\"settings\":{\"localities\":[\"z\"],\"kinds\":[\"k\"],"
                        + "\"classes\":[{\"name\":\"look\",\"repeat\":\"free\",\"aim-s\":1,"
                        + "\"give-up-s\":2,\"worth\":1}],\"group-size\":9,"
                        + "\"ceilings\":{\"try-limit\":2,\"connect-timeout-s\":0.25,\"conn-idle-s\":9},"
                        + "\"discovery\":\"on_request\",\"tick-s\":0.005}}");
    }

    private static void await(BufferedReader log, String text) throws Exception {
        for (String line = log.readLine();
                line == null || !line.contains(text);
                line = log.readLine()) {
            assertTrue(line != null, "ended before it said: " + text);
        }
    }

    /**
     * Starts a process, and kills it after three times the timeout of a single wait, so that a test
     * that waits for a log line ends.
     */
    private static Process start(ProcessBuilder builder) throws IOException {
        Process process = builder.start();
        CompletableFuture.delayedExecutor(3L * RawSockets.TIMEOUT_S, TimeUnit.SECONDS)
                .execute(process::destroyForcibly);
        return process;
    }

    private static ProcessBuilder serve(Path config) {
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "serve");
        builder.environment().put("NODE_CONFIG", config.toString());
        return builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    }

    /**
     * Guards against accepting connections during the warm-up run: when a group restarted together,
     * thousands of requests were lost. The group size in the configuration is large enough that the
     * balancer listens only after the run.
     */
    @Test
    void noClientCanConnectBeforeTheWarmupHasEnded() throws Exception {
        InetSocketAddress listen;
        try (ServerSocket free = new ServerSocket()) {
            free.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            listen = (InetSocketAddress) free.getLocalSocketAddress();
        }
        File log = folder.resolve("log").toFile();
        try (Server discovery = new Server((m, s) -> RawSockets.startChunkedResponse(s))) {
            Process process =
                    start(
                            serve(config("127.0.0.1:" + listen.getPort(), discovery.address()))
                                    .redirectError(log));
            try {
                while (!connects(listen)) {
                    assertTrue(process.isAlive(), "ended: " + Files.readString(log.toPath()));
                }
                assertTrue(
                        Files.readString(log.toPath()).contains("rehearsed with"),
                        "still rehearsing");
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
    }

    private static boolean connects(InetSocketAddress to) throws IOException {
        try (Socket socket = new Socket()) {
            // Not the balancer's address: on that, the socket may get the free port as its own
            // local port, and then connects to itself.
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.2"), 0));
            socket.connect(to);
            return true;
        } catch (ConnectException e) {
            return false;
        }
    }

    /**
     * Guards against SIGHUP ending the process, with which all open requests would be lost. The
     * first SIGHUP finds an invalid configuration file, the second one a valid file with another
     * address of discovery.
     */
    @Test
    void hangUpSignalMovesTheWatchToTheNewAddressAndKeepsItUp() throws Exception {
        try (Server before = new Server((m, s) -> RawSockets.startChunkedResponse(s));
                Server after = new Server((m, s) -> RawSockets.startChunkedResponse(s))) {
            Process process = start(serve(config(before.address())));
            try (BufferedReader log = process.errorReader()) {
                await(log, "rehearsed with");
                assertTrue(RawSockets.next(before.requests).start().contains("follow=1&since=7"));
                Files.writeString(folder.resolve("config.json"), "{\"listen\":");
                hangUp(process);
                await(log, "went on with the old configuration");
                config(after.address());
                hangUp(process);
                assertTrue(RawSockets.next(after.requests).start().contains("follow=1&since=7"));
                process.destroy();
                assertTrue(process.waitFor(RawSockets.TIMEOUT_S, TimeUnit.SECONDS));
                assertEquals(SIGTERM_EXIT, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static void hangUp(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }
}
