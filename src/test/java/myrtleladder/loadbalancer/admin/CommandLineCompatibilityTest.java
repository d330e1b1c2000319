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
 * Pins the command lines: options, what is printed, and the status that each ends with. Deployment
 * files and operators' scripts call them and branch on the status.
 */
class CommandLineCompatibilityTest {
    @TempDir Path folder;

    private String say(String... args) {
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

    private String serve(String config, String... args) {
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
                say("--help")
                        + say("serve", "--help")
                        + say("adapter", "--help")
                        + say("rehearse", "--help")
                        + say("config", "--help")
                        + say("config", "check", "--help")
                        + say("config", "show", "--help"));
    }

    @Test
    void commandsEndWithTheSameStatusAndMessage() throws Exception {
        Path good = Files.writeString(folder.resolve("good.toml"), Golden.read("command/own.toml"));
        Path bad = Files.writeString(folder.resolve("bad.toml"), "[log]\nlevl = \"info\"\n");
        Golden.assertMatches(
                "command/statuses.txt",
                say()
                        + say("config", "check", good.toString())
                        + say("config", "show", good.toString())
                        + say("config", "show")
                        + say("config", "check", bad.toString())
                        + say("config", "check", folder.resolve("none.toml").toString())
                        + say("config", "check", folder.toString())
                        + say("config", "check")
                        + say("serve", "--confg", "x")
                        + say("serve", "--config", bad.toString())
                        + say("nonsense"));
    }

    @Test
    void thePlatformsStartEndsWithTheSameStatusAndMessage() throws Exception {
        Path cut = Files.writeString(folder.resolve("cut.json"), "{\"listen\":\n\"127.0.0.1:0\",");
        Golden.assertMatches(
                "command/serve-statuses.txt",
                serve(null, "serve")
                        + serve(null)
                        + serve(null, "help")
                        + serve(null, "serve", "more")
                        + serve(null, "rehearse")
                        + serve(folder.resolve("none.json").toString(), "serve")
                        + serve(cut.toString(), "serve"));
    }
}
