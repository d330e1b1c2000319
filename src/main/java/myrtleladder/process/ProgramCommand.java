package myrtleladder.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import myrtleladder.result.ResultCode;
import myrtleladder.result.ResultException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The command line of a program of the fleet: the subcommands {@code serve}, {@code check} and
 * {@code rehearse}, which all programs have, those of one program, help and exit codes.
 *
 * <p>Used by the main thread only. Failures are printed to the standard error.
 */
public final class ProgramCommand {
    /** Exit code of a command that succeeded. */
    public static final int SUCCESS_EXIT_CODE = 0;

    /** Exit code of a command that failed. */
    public static final int FAILURE_EXIT_CODE = 1;

    /** Exit code of a command line that is wrong. */
    public static final int USAGE_EXIT_CODE = 2;

    private static final String EXIT_CODES =
            "\nExit codes: 0 done, 1 failed with a numbered result, 2 the command line is wrong.";

    private final Program program;
    private final List<Subcommand> subcommands = new ArrayList<>();

    /** What the common subcommands need of a program. */
    public interface Program {
        /** Returns the name by which users start the program. */
        String name();

        /**
         * Serves until the process is asked to stop.
         *
         * @throws SettingsException if a setting that this program needs is missing
         * @throws InterruptedException if the calling thread is interrupted
         * @throws ReflectiveOperationException if the platform has no signals
         */
        void serve(NodeSettings settings) throws InterruptedException, ReflectiveOperationException;

        /**
         * Serves requests of its own on the loopback and stops, to record the class archive.
         *
         * @return whether all requests were answered in time
         * @throws IOException if files of the run can't be written
         * @throws InterruptedException if the calling thread is interrupted
         */
        boolean warmUp() throws IOException, InterruptedException;
    }

    /**
     * One subcommand.
     *
     * @param name the word that selects it
     * @param syntax the word with its arguments, for the help
     * @param description what it does, for the help
     * @param action runs it with all words of the command line and returns the exit code
     */
    public record Subcommand(
            String name, String syntax, String description, ToIntFunction<List<String>> action) {}

    /** Creates the command line of a program with further subcommands of its own. */
    public ProgramCommand(Program program, Subcommand... further) {
        this.program = program;
        subcommands.add(
                new Subcommand(
                        "serve",
                        "serve",
                        "serve with the settings that " + NodeSettings.VARIABLE + " names",
                        words -> serve()));
        subcommands.add(
                new Subcommand(
                        "check", "check [FILE]", "check a settings file", ProgramCommand::check));
        subcommands.add(
                new Subcommand(
                        "rehearse",
                        "rehearse",
                        "serve requests of its own on the loopback and end",
                        words -> warmUp()));
        subcommands.addAll(List.of(further));
    }

    /** Runs a command line and returns the exit code. */
    public int run(String... arguments) {
        return run(arguments, syntax(), descriptions(), this::runSubcommand);
    }

    /**
     * Parses a command line and runs it with its words.
     *
     * @param syntax synopsis, for the help
     * @param descriptions what each subcommand does, for the help
     * @param action runs the words, of which there is one at least, and returns the exit code
     */
    static int run(
            String[] arguments,
            String syntax,
            String descriptions,
            ToIntFunction<List<String>> action) {
        Options options = new Options();
        options.addOption("h", "help", false, "this text");
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            List<String> words = line.getArgList();
            if (line.hasOption("help") || words.isEmpty()) {
                new HelpFormatter().printHelp(syntax, "", options, descriptions + EXIT_CODES);
                return line.hasOption("help") ? SUCCESS_EXIT_CODE : USAGE_EXIT_CODE;
            }
            return action.applyAsInt(words);
        } catch (ParseException e) {
            return reportUsageError(e.getMessage());
        } catch (ResultException e) {
            System.err.println(e.getMessage());
            return FAILURE_EXIT_CODE;
        } catch (RuntimeException e) {
            // Otherwise threads of the program would keep alive a process that serves nobody.
            e.printStackTrace();
            return FAILURE_EXIT_CODE;
        }
    }

    /** Reports a word that is no subcommand and returns the exit code. */
    static int unknown(String word) {
        return reportUsageError("unknown word " + word);
    }

    private static int reportUsageError(String message) {
        System.err.println(ResultCode.USAGE.label() + ": " + message);
        return USAGE_EXIT_CODE;
    }

    private String syntax() {
        List<String> alternatives = subcommands.stream().map(Subcommand::syntax).toList();
        return program.name() + " " + String.join(" | ", alternatives);
    }

    private String descriptions() {
        StringBuilder text = new StringBuilder("\n");
        for (Subcommand subcommand : subcommands) {
            text.append(String.format("%-14s%s%n", subcommand.syntax(), subcommand.description()));
        }
        return text.toString();
    }

    private int runSubcommand(List<String> words) {
        for (Subcommand subcommand : subcommands) {
            if (subcommand.name().equals(words.get(0))) {
                return subcommand.action().applyAsInt(words);
            }
        }
        return unknown(words.get(0));
    }

    private int serve() {
        NodeSettings settings = NodeSettings.fromEnvironment();
        try {
            program.serve(settings);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ReflectiveOperationException e) {
            throw new SettingsException(ResultCode.USAGE, "this platform has no signals: " + e);
        }
        return SUCCESS_EXIT_CODE;
    }

    private static int check(List<String> words) {
        NodeSettings settings =
                words.size() > 1
                        ? NodeSettings.read(Path.of(words.get(1)))
                        : NodeSettings.fromEnvironment();
        System.out.println(settings + "\nsettings are sound");
        return SUCCESS_EXIT_CODE;
    }

    private int warmUp() {
        try {
            return program.warmUp() ? SUCCESS_EXIT_CODE : FAILURE_EXIT_CODE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            System.err.println("interrupted");
            return FAILURE_EXIT_CODE;
        } catch (IOException e) {
            System.err.println(e);
            return FAILURE_EXIT_CODE;
        }
    }
}
