package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The data plane's program as a process. */
class DataPlaneProcessTest {
    private static final String HOST = "127.0.0.1";

    /** How long a process may take to end; allows for an overloaded machine. */
    private static final long EXIT_TIMEOUT_S = 45;

    @TempDir Path folder;

    @Test
    void processThatCannotListenEndsWithAFailure() throws IOException, InterruptedException {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            Process process = start(occupied.getLocalPort());
            try {
                assertTrue(process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS));
                assertEquals(1, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private Process start(int port) throws IOException {
        Path settings =
                Files.writeString(
                        folder.resolve("node.toml"),
                        """
                        node_name = "e"
                        role = "data"
                        ip = "%1$s"
                        zone = "z"
                        port_range = [%2$d]
                        seeds = ["%1$s:1"]
                        heartbeat_ms = 600
                        [listen]
                        frontend = "%1$s:%2$d"
                        readiness = "%1$s:%2$d"
                        """
                                .formatted(HOST, port));
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "myrtleladder.dataplane.Main",
                        "serve");
        builder.environment().put("MYRTLELADDER_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve("log").toFile());
        return builder.start();
    }
}
