package myrtleladder.process;

import java.util.List;
import java.util.function.ToIntFunction;
import myrtleladder.result.ResultCode;
import myrtleladder.result.ResultException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** What the command lines of the fleet's programs have in common: help, failures, exit codes. */
public final class ProgramCommand {
    /** Exit code of a command line that is wrong. */
    public static final int USAGE = 2;

    /** Exit code of what failed with a numbered result. */
    public static final int FAILED = 1;

    private static final String CODES =
            "\nExit codes: 0 done, 1 failed with a numbered result, 2 the command line is wrong.";

    private ProgramCommand() {}

    /**
     * Reads the arguments and carries the words out; {@code syntax} and {@code words} are told by
     * --help.
     */
    public static int run(
            String[] arguments, String syntax, String words, ToIntFunction<List<String>> carryOut) {
        Options options = new Options();
        options.addOption("h", "help", false, "this text");
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            List<String> given = line.getArgList();
            if (line.hasOption("help") || given.isEmpty()) {
                new HelpFormatter().printHelp(syntax, "", options, words + CODES);
                return line.hasOption("help") ? 0 : USAGE;
            }
            return carryOut.applyAsInt(given);
        } catch (ParseException e) {
            return wrong(e.getMessage());
        } catch (ResultException e) {
            System.err.println(e.getMessage());
            return FAILED;
        }
    }

    /** Tells that a word is not known. */
    public static int unknown(String word) {
        return wrong("unknown word " + word);
    }

    private static int wrong(String message) {
        System.err.println(ResultCode.USAGE.label() + ": " + message);
        return USAGE;
    }
}
