package myrtleladder.loadbalancer.admin;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import myrtleladder.toml.TomlFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks and prints the operators' configuration without starting a server. */
@Command(
        name = "config",
        description = "Checks and shows our own configuration.",
        mixinStandardHelpOptions = true,
        subcommands = {ConfigCommand.Check.class, ConfigCommand.Show.class})
final class ConfigCommand {
    ConfigCommand() {}

    /** Validates a file and reports the first error in it. */
    @Command(
            name = "check",
            description = "Says what is wrong with a file, by line and key.",
            mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "our own configuration, as TOML")
        private Path file;

        @Spec private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            OperatorConfigurationReader.read(file);
            spec.commandLine().getOut().println(file + ": good");
            return 0;
        }
    }

    /** Prints the effective configuration of a file, or the defaults without one. */
    @Command(
            name = "show",
            description = "Shows what is in force with a file, defaults filled in.",
            mixinStandardHelpOptions = true)
    static final class Show implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", arity = "0..1", description = "default: no file")
        private Path file;

        @Spec private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            OperatorConfiguration configuration =
                    file == null
                            ? OperatorConfiguration.DEFAULTS
                            : OperatorConfigurationReader.read(file);
            PrintWriter out = spec.commandLine().getOut();
            out.print(TomlFile.write(configuration));
            out.flush();
            return 0;
        }
    }
}
