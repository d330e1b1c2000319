package myrtleladder.loadbalancer.admin;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import myrtleladder.loadbalancer.policy.Golden;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/**
 * Pins the options, output and exit status of each command. Deployment files and operators' scripts
 * call the commands and branch on the exit status.
 */
class CommandLineCompatibilityTest {
    @TempDir Path folder;

    private String execute(String... args) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        CommandLine line =
                Main.commandLine()
                        .setOut(new PrintWriter(out, true))
                        .setErr(new PrintWriter(err, true))
                        .setUsageHelpWidth(100)
                        .setColorScheme(
                                CommandLine.Help.defaultColorScheme(CommandLine.Help.Ansi.OFF));
        int status = line.execute(args);
        return ("> " + String.join(" ", args) + "\nstatus " + status + "\n" + out + err)
                .replace(folder.toString(), "FOLDER");
    }

    private String runServer(String config, String... args) {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status =
                myrtleladder.loadbalancer.server.Main.run(
                        args, config, new PrintStream(err, true), b -> {});
        return ("> "
                        + String.join(" ", args)
                        + "\nstatus "
                        + status
                        + "\n"
                        + err.toString(StandardCharsets.UTF_8))
                .replace(folder.toString(), "FOLDER");
    }

    @Test
    void helpOfTheBalancersCommandsNamesTheSameOptions() throws Exception {
        Golden.assertMatches(
                "command/help.txt",
                execute("--help")
                        + execute("serve", "--help")
                        + execute("adapter", "--help")
                        + execute("rehearse", "--help")
                        + execute("config", "--help")
                        + execute("config", "check", "--help")
                        + execute("config", "show", "--help"));
    }

    @Test
    void commandsEndWithTheSameStatusAndMessage() throws Exception {
        Path good = Files.writeString(folder.resolve("good.toml"), Golden.read("command/own.toml"));
        Path bad = Files.writeString(folder.resolve("bad.toml"), "[log]\nlevl = \"info\"\n");
        Golden.assertMatches(
                "command/statuses.txt",
                execute()
                        + execute("config", "check", good.toString())
                        + execute("config", "show", good.toString())
                        + execute("config", "show")
                        + execute("config", "check", bad.toString())
                        + execute("config", "check", folder.resolve("none.toml").toString())
                        + execute("config", "check", folder.toString())
                        + execute("config", "check")
                        + execute("serve", "--confg", "x")
                        + execute("serve", "--config", bad.toString())
                        + execute("nonsense"));
    }

    @Test
    void thePlatformsStartEndsWithTheSameStatusAndMessage() throws Exception {
        Path cut = Files.writeString(folder.resolve("cut.json"), "{\"listen\":\n\"127.0.0.1:0\",");
        Golden.assertMatches(
                "command/serve-statuses.txt",
                runServer(null, "serve")
                        + runServer(null)
                        + runServer(null, "help")
                        + runServer(null, "serve", "more")
                        + runServer(null, "rehearse")
                        + runServer(folder.resolve("none.json").toString(), "serve")
                        + runServer(cut.toString(), "serve"));
    }
}
