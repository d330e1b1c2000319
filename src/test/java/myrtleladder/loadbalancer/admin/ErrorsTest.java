package myrtleladder.loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.AddressTaken;
import myrtleladder.error.OperatorError.InvalidConfigurationFile;
import myrtleladder.error.OperatorError.InvalidInput;
import myrtleladder.error.OperatorError.InvalidOption;
import myrtleladder.error.OperatorError.InvalidPlatformFile;
import myrtleladder.error.OperatorError.LimitsTooSmall;
import myrtleladder.error.OperatorError.MissingBuild;
import myrtleladder.error.OperatorError.MissingEnvironmentVariable;
import myrtleladder.error.OperatorError.PartNotConfigured;
import myrtleladder.error.OperatorError.PeerOverloaded;
import myrtleladder.error.OperatorError.ProcessUnreachable;
import myrtleladder.error.OperatorError.StartFailed;
import myrtleladder.error.OperatorError.UnexpectedError;
import myrtleladder.error.OperatorError.UnreadableFile;
import myrtleladder.loadbalancer.policy.LogCapture;
import myrtleladder.loadbalancer.simulator.Adapter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Provokes the errors that operators see and checks that each message has its code, its cause and a
 * remedy.
 */
class ErrorsTest {
    @TempDir Path folder;

    /** Runs a command that has to fail and returns its error output. */
    private static String runFailingCommand(String... args) {
        StringWriter err = new StringWriter();
        int status = Main.commandLine().setErr(new PrintWriter(err, true)).execute(args);
        assertEquals(2, status, err::toString);
        return err.toString();
    }

    /** Starts a load balancer that has to fail and returns its error output. */
    private static String runFailingServer(Path config) {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertNotEquals(
                0,
                myrtleladder.loadbalancer.server.Main.run(
                        new String[] {"serve"},
                        config == null ? null : config.toString(),
                        new PrintStream(err, true),
                        b -> {}));
        return err.toString(StandardCharsets.UTF_8);
    }

    private static void assertError(String message, String code, String remedy, String... parts) {
        assertTrue(message.contains(code + " ") && message.contains(remedy), message);
        for (String part : parts) {
            assertTrue(message.contains(part), () -> part + " is missing in " + message);
        }
        assertEquals(1, message.strip().lines().count(), message);
    }

    private Path writeFile(String name, String text) throws Exception {
        Path file = folder.resolve(name);
        Files.createDirectories(file.getParent());
        return Files.writeString(file, text);
    }

    /** Writes a platform's configuration file with an address and limits. */
    private Path writePlatformFile(String listen, String limits) throws Exception {
        return writeFile(
                "config.json",
                Files.readString(Path.of("deploy", "rehearsal.json"))
                        .replaceFirst(
                                "\"listen\"\\s*:\\s*\"[^\"]*\"", "\"listen\":\"" + listen + "\"")
                        .replaceFirst(
                                "\"limits\"\\s*:\\s*\\{[^}]*}", "\"limits\":{" + limits + "}"));
    }

    @Test
    void fileErrorsNameLineAndKey() throws Exception {
        String missing = folder.resolve("none.toml").toString();
        assertError(
                runFailingCommand("config", "check", missing),
                UnreadableFile.CODE,
                UnreadableFile.REMEDY,
                missing);
        Path bad = writeFile("bad.toml", "[log]\nlevl = \"info\"\n");
        assertError(
                runFailingCommand("config", "check", bad.toString()),
                InvalidConfigurationFile.CODE,
                InvalidConfigurationFile.REMEDY,
                bad + ":2: log.levl");
        Path council =
                writeFile(
                        "council.toml",
                        "[fleet]\nname = \"f\"\nlisten = \"127.0.0.1:1\"\n"
                                + "council = [\"b0\", \"b0\"]\n");
        assertError(
                runFailingCommand("config", "check", council.toString()),
                InvalidConfigurationFile.CODE,
                "each once",
                "fleet.council");
    }

    @Test
    void platformConfigurationErrorsAreReported() throws Exception {
        assertError(
                runFailingServer(null),
                MissingEnvironmentVariable.CODE,
                MissingEnvironmentVariable.REMEDY,
                "NODE_CONFIG");
        assertError(
                runFailingServer(folder.resolve("none.json")),
                UnreadableFile.CODE,
                UnreadableFile.REMEDY,
                "none.json");
        Path cut = writeFile("cut.json", "{\"listen\":\n\"127.0.0.1:0\",");
        assertError(
                runFailingServer(cut),
                InvalidPlatformFile.CODE,
                InvalidPlatformFile.REMEDY,
                cut + ": line 2");
        Path without =
                writeFile(
                        "without.json",
                        "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\"}");
        assertError(runFailingServer(without), InvalidPlatformFile.CODE, "settings");
        Path wrong =
                writeFile(
                        "wrong.json",
                        Files.readString(writePlatformFile("127.0.0.1:0", ""))
                                .replaceFirst("\"group-size\"\\s*:\\s*\\d+", "\"group-size\":0"));
        assertError(runFailingServer(wrong), InvalidPlatformFile.CODE, "group-size");
    }

    /**
     * Limits that are too small cause warnings only; the start then fails at the address in use.
     */
    @Test
    void smallLimitsAndAddressInUseAreReported() throws Exception {
        try (LogCapture lines = new LogCapture(myrtleladder.loadbalancer.server.Main.class);
                ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + taken.getLocalPort();
            assertError(
                    runFailingServer(
                            writePlatformFile(address, "\"memory_mb\":32,\"sockets\":100")),
                    AddressTaken.CODE,
                    AddressTaken.REMEDY,
                    address);
            assertError(
                    lines.next(),
                    LimitsTooSmall.CODE,
                    LimitsTooSmall.REMEDY,
                    "limits.memory_mb is 32");
            assertError(
                    lines.next(),
                    LimitsTooSmall.CODE,
                    LimitsTooSmall.REMEDY,
                    "limits.sockets is 100");
        }
    }

    @Test
    void invalidInputLineIsReported() {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(
                1,
                Adapter.run(
                        new String[] {"adapter"},
                        new ByteArrayInputStream(
                                "{\"moment-s\":\n".getBytes(StandardCharsets.UTF_8)),
                        new ByteArrayOutputStream(),
                        new PrintStream(err, true)));
        assertError(
                err.toString(StandardCharsets.UTF_8),
                InvalidInput.CODE,
                InvalidInput.REMEDY,
                "line 1");
    }

    /** Queries an invalid address, a closed port, a process without a fleet and a busy process. */
    @Test
    void unansweredQueriesAreReported() throws Exception {
        assertError(
                runFailingCommand("fleet", "members", "--at", "here there"),
                InvalidOption.CODE,
                InvalidOption.REMEDY,
                "--at");
        String nobody;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            nobody = "127.0.0.1:" + free.getLocalPort();
        }
        assertError(
                runFailingCommand("fleet", "members", "--at", nobody),
                ProcessUnreachable.CODE,
                ProcessUnreachable.REMEDY,
                nobody);
        try (AdminServer admin =
                new AdminServer(
                        new InetSocketAddress("127.0.0.1", 0),
                        "b0",
                        () -> new DefaultPromise<>(GlobalEventExecutor.INSTANCE),
                        null,
                        null,
                        null)) {
            String at = "127.0.0.1:" + admin.address().getPort();
            assertError(
                    runFailingCommand("fleet", "members", "--at", at),
                    PartNotConfigured.CODE,
                    PartNotConfigured.REMEDY,
                    at,
                    "[fleet]");
        }
        HttpServer busy = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1);
        busy.createContext(
                "/",
                exchange -> {
                    exchange.sendResponseHeaders(503, 0);
                    exchange.getResponseBody()
                            .write("the event loop is busy\n".getBytes(StandardCharsets.UTF_8));
                    exchange.close();
                });
        busy.start();
        try {
            String at = "127.0.0.1:" + busy.getAddress().getPort();
            assertError(
                    runFailingCommand("fleet", "members", "--at", at),
                    PeerOverloaded.CODE,
                    PeerOverloaded.REMEDY,
                    at,
                    "loop is busy");
        } finally {
            busy.stop(0);
        }
    }

    @Test
    void experimentStartErrorsAreReported() throws Exception {
        String calm = Path.of("experiments", "calm.toml").toString();
        assertError(
                runFailingCommand("lab", "run", calm, "--plays", "0"),
                InvalidOption.CODE,
                InvalidOption.REMEDY,
                "--plays");
        assertError(
                runFailingCommand("lab", "run", calm, "--build", folder.toString()),
                MissingBuild.CODE,
                MissingBuild.REMEDY,
                folder.toString());
        writeFile("deploy/balancer.toml", "run = \"exit 1\"\n");
        assertError(
                runFailingCommand("lab", "run", calm, "--build", folder.toString()),
                MissingBuild.CODE,
                MissingBuild.REMEDY,
                "myrtleladder-loadbalancer.jar");
        writeFile("target/myrtleladder-loadbalancer.jar", "");
        String out = folder.resolve("plays").toString();
        assertError(
                runFailingCommand("lab", "run", calm, "--build", folder.toString(), "--out", out),
                StartFailed.CODE,
                StartFailed.REMEDY,
                out);
        Path inTheWay = writeFile("in-the-way", "");
        assertError(
                runFailingCommand(
                        "lab",
                        "run",
                        calm,
                        "--build",
                        folder.toString(),
                        "--out",
                        inTheWay.toString()),
                UnexpectedError.CODE,
                UnexpectedError.REMEDY,
                "in-the-way");
    }

    @Test
    void documentedErrorsMatchErrorTypes() throws Exception {
        List<String> known =
                Arrays.stream(OperatorError.class.getPermittedSubclasses())
                        .map(
                                type -> {
                                    try {
                                        return type.getField("CODE").get(null)
                                                + " | "
                                                + type.getSimpleName()
                                                + " | "
                                                + type.getField("REMEDY").get(null);
                                    } catch (ReflectiveOperationException e) {
                                        throw new AssertionError(
                                                type + " has no code or remedy", e);
                                    }
                                })
                        .sorted()
                        .toList();
        assertEquals(known.size(), known.stream().map(k -> k.substring(0, 4)).distinct().count());
        assertEquals(
                known,
                Files.readString(Path.of("docs", "errors.md"))
                        .lines()
                        .filter(l -> l.startsWith("| Y"))
                        .map(l -> l.substring(2, l.length() - 2))
                        .toList());
    }
}
