package myrtleladder.loadbalancer.admin;

import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.UnexpectedError;
import myrtleladder.error.OperatorError.UnreadableFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command line with all subcommands. {@code java -jar myrtleladder-loadbalancer.jar serve}
 * bypasses it, so that a start by the platform loads no library that only the command line needs.
 */
@Command(
        name = "myrtleladder",
        description = "A load balancer, and what keeps fleets of it running.",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        subcommands = {
            ServeCommand.class,
            Main.Adapter.class,
            Main.Rehearse.class,
            ConfigCommand.class,
            FleetCommand.class,
            myrtleladder.testbed.Main.class
        })
public final class Main {
    /** Exit status of a command that failed (docs/command.md). */
    private static final int FAILURE_EXIT_STATUS = 2;

    Main() {}

    /** Runs one command and exits with its status; a started server keeps running until SIGTERM. */
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        int status = commandLine().execute(args);
        if (status != ServeCommand.SERVING) {
            System.exit(status);
        }
    }

    /** Creates the command line, which prints each error as one line that names its cause. */
    static CommandLine commandLine() {
        return new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((e, command, parsed) -> printError(e, command));
    }

    private static int printError(Exception error, CommandLine command) {
        command.getErr()
                .println(
                        command.getCommandSpec().qualifiedName()
                                + ": "
                                + operatorError(error).getMessage());
        return FAILURE_EXIT_STATUS;
    }

    private static OperatorError operatorError(Exception error) {
        if (error instanceof OperatorError known) {
            return known;
        }
        if (error instanceof NoSuchFileException missing) {
            return new UnreadableFile(
                    Path.of(missing.getFile()), "there is no such file or folder");
        }
        return new UnexpectedError(error);
    }

    /** The version of the program, from the manifest of its jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {text()};
        }

        static String text() {
            String version = Main.class.getPackage().getImplementationVersion();
            return "myrtleladder " + (version == null ? "(not from a jar)" : version);
        }
    }

    /** Serves decisions to the simulator over standard input and output. */
    @Command(
            name = "adapter",
            description = "Makes the decisions on the simulator's wire, by standard input.",
            mixinStandardHelpOptions = true)
    static final class Adapter implements Callable<Integer> {
        @Override
        public Integer call() {
            myrtleladder.loadbalancer.server.Main.main(new String[] {"adapter"});
            return 0;
        }
    }

    /** Starts the load balancer for a warm-up run, in which the class archive is recorded. */
    @Command(
            name = "rehearse",
            description = "Starts as to serve, and ends when it could.",
            mixinStandardHelpOptions = true)
    static final class Rehearse implements Callable<Integer> {
        @Override
        public Integer call() {
            myrtleladder.loadbalancer.server.Main.main(new String[] {"rehearse"});
            return 0;
        }
    }
}
