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
 * Each error that reaches an operator, as he meets it: its code, where it happened, and what he can
 * do.
 */
class ErrorsTest {
    @TempDir Path folder;

    /** What a command prints when it fails. */
    private static String failed(String... args) {
        StringWriter err = new StringWriter();
        int status = Main.commandLine().setErr(new PrintWriter(err, true)).execute(args);
        assertEquals(2, status, err::toString);
        return err.toString();
    }

    /** What a balancer prints that can't start. */
    private static String notServed(Path config) {
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

    private static void says(String said, String code, String remedy, String... parts) {
        assertTrue(said.contains(code + " ") && said.contains(remedy), said);
        for (String part : parts) {
            assertTrue(said.contains(part), () -> part + " is missing in " + said);
        }
        assertEquals(1, said.strip().lines().count(), said);
    }

    private Path file(String name, String text) throws Exception {
        Path file = folder.resolve(name);
        Files.createDirectories(file.getParent());
        return Files.writeString(file, text);
    }

    /** The platform's file with an address and limits. */
    private Path config(String listen, String limits) throws Exception {
        return file(
                "config.json",
                Files.readString(Path.of("deploy", "rehearsal.json"))
                        .replaceFirst(
                                "\"listen\"\\s*:\\s*\"[^\"]*\"", "\"listen\":\"" + listen + "\"")
                        .replaceFirst(
                                "\"limits\"\\s*:\\s*\\{[^}]*}", "\"limits\":{" + limits + "}"));
    }

    @Test
    void filesAreNamedWithLineAndKey() throws Exception {
        String missing = folder.resolve("none.toml").toString();
        says(
                failed("config", "check", missing),
                UnreadableFile.CODE,
                UnreadableFile.REMEDY,
                missing);
        Path bad = file("bad.toml", "[log]\nlevl = \"info\"\n");
        says(
                failed("config", "check", bad.toString()),
                InvalidConfigurationFile.CODE,
                InvalidConfigurationFile.REMEDY,
                bad + ":2: log.levl");
        Path council =
                file(
                        "council.toml",
                        "[fleet]\nname = \"f\"\nlisten = \"127.0.0.1:1\"\n"
                                + "council = [\"b0\", \"b0\"]\n");
        says(
                failed("config", "check", council.toString()),
                InvalidConfigurationFile.CODE,
                "each once",
                "fleet.council");
    }

    @Test
    void whatThePlatformTellsWrongIsNamed() throws Exception {
        says(
                notServed(null),
                MissingEnvironmentVariable.CODE,
                MissingEnvironmentVariable.REMEDY,
                "NODE_CONFIG");
        says(
                notServed(folder.resolve("none.json")),
                UnreadableFile.CODE,
                UnreadableFile.REMEDY,
                "none.json");
        Path cut = file("cut.json", "{\"listen\":\n\"127.0.0.1:0\",");
        says(
                notServed(cut),
                InvalidPlatformFile.CODE,
                InvalidPlatformFile.REMEDY,
                cut + ": line 2");
        Path without =
                file("without.json", "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\"}");
        says(notServed(without), InvalidPlatformFile.CODE, "settings");
        Path wrong =
                file(
                        "wrong.json",
                        Files.readString(config("127.0.0.1:0", ""))
                                .replaceFirst("\"group-size\"\\s*:\\s*\\d+", "\"group-size\":0"));
        says(notServed(wrong), InvalidPlatformFile.CODE, "group-size");
    }

    /** It warns of limits that are too small, and tries; here it then finds its address taken. */
    @Test
    void limitsThatAreTooSmallAndAddressesThatAreTakenAreNamed() throws Exception {
        try (LogCapture lines = new LogCapture(myrtleladder.loadbalancer.server.Main.class);
                ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + taken.getLocalPort();
            says(
                    notServed(config(address, "\"memory_mb\":32,\"sockets\":100")),
                    AddressTaken.CODE,
                    AddressTaken.REMEDY,
                    address);
            says(
                    lines.next(),
                    LimitsTooSmall.CODE,
                    LimitsTooSmall.REMEDY,
                    "limits.memory_mb is 32");
            says(lines.next(), LimitsTooSmall.CODE, LimitsTooSmall.REMEDY, "limits.sockets is 100");
        }
    }

    @Test
    void aLineOfInputIsNamed() {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(
                1,
                Adapter.run(
                        new String[] {"adapter"},
                        new ByteArrayInputStream(
                                "{\"moment-s\":\n".getBytes(StandardCharsets.UTF_8)),
                        new ByteArrayOutputStream(),
                        new PrintStream(err, true)));
        says(
                err.toString(StandardCharsets.UTF_8),
                InvalidInput.CODE,
                InvalidInput.REMEDY,
                "line 1");
    }

    /** Processes that are asked: nobody there, one without that part, one too busy to answer. */
    @Test
    void whoIsAskedInVainIsNamed() throws Exception {
        says(
                failed("fleet", "members", "--at", "here there"),
                InvalidOption.CODE,
                InvalidOption.REMEDY,
                "--at");
        String nobody;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            nobody = "127.0.0.1:" + free.getLocalPort();
        }
        says(
                failed("fleet", "members", "--at", nobody),
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
            says(
                    failed("fleet", "members", "--at", at),
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
            says(
                    failed("fleet", "members", "--at", at),
                    PeerOverloaded.CODE,
                    PeerOverloaded.REMEDY,
                    at,
                    "loop is busy");
        } finally {
            busy.stop(0);
        }
    }

    @Test
    void anExperimentThatCannotBePlayedSaysWhy() throws Exception {
        String calm = Path.of("experiments", "calm.toml").toString();
        says(
                failed("lab", "run", calm, "--plays", "0"),
                InvalidOption.CODE,
                InvalidOption.REMEDY,
                "--plays");
        says(
                failed("lab", "run", calm, "--build", folder.toString()),
                MissingBuild.CODE,
                MissingBuild.REMEDY,
                folder.toString());
        file("deploy/balancer.toml", "run = \"exit 1\"\n");
        says(
                failed("lab", "run", calm, "--build", folder.toString()),
                MissingBuild.CODE,
                MissingBuild.REMEDY,
                "myrtleladder-loadbalancer.jar");
        file("target/myrtleladder-loadbalancer.jar", "");
        String out = folder.resolve("plays").toString();
        says(
                failed("lab", "run", calm, "--build", folder.toString(), "--out", out),
                StartFailed.CODE,
                StartFailed.REMEDY,
                out);
        Path inTheWay = file("in-the-way", "");
        says(
                failed(
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
    void theListOfErrorsIsTheOneInTheDocuments() throws Exception {
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
