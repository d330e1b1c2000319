package yewyoke.dataplane;

import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import yewyoke.io.ResultCode;
import yewyoke.io.SystemException;
import yewyoke.process.NodeSettings;
import yewyoke.process.SettingsException;

/** The command line of the data plane. */
final class DataCommand {
    private static final int USAGE = 2;
    private static final String WORDS = "yewyoke-data serve | check [FILE] | rehearse";
    private static final String FOOTER =
            """

serve         serve with the settings that MYRTLELADDER_CONFIG names
check [FILE]  check a settings file
rehearse      serve requests of its own on the loopback and end

Exit codes: 0 done, 1 failed with a numbered result, 2 the command line is wrong.""";

    private DataCommand() {}

    static int run(String[] arguments) {
        Options options = new Options();
        options.addOption("h", "help", false, "this text");
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            List<String> words = line.getArgList();
            if (line.hasOption("help") || words.isEmpty()) {
                new HelpFormatter().printHelp(WORDS, "", options, FOOTER);
                return line.hasOption("help") ? 0 : USAGE;
            }
            return carryOut(words);
        } catch (ParseException e) {
            System.err.println(ResultCode.USAGE.label() + ": " + e.getMessage());
            return USAGE;
        } catch (SystemException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }

    private static int carryOut(List<String> words) {
        switch (words.get(0)) {
            case "serve" -> serve();
            case "rehearse" -> {
                return rehearse();
            }
            case "check" -> {
                NodeSettings settings =
                        words.size() > 1
                                ? NodeSettings.read(Path.of(words.get(1)))
                                : NodeSettings.fromEnvironment();
                System.out.println(settings + "\nsettings are sound");
            }
            default -> {
                System.err.println(ResultCode.USAGE.label() + ": unknown word " + words.get(0));
                return USAGE;
            }
        }
        return 0;
    }

    private static int rehearse() {
        try {
            return Rehearsal.run() ? 0 : 1;
        } catch (InterruptedException e) {
            System.err.println(e);
            return 1;
        }
    }

    private static void serve() {
        NodeSettings settings = NodeSettings.fromEnvironment();
        if (settings.frontend() == null
                || settings.readiness() == null
                || settings.seeds().isEmpty()) {
            throw new SettingsException(
                    ResultCode.SETTINGS_VALUE,
                    "a balancer needs listen.frontend, listen.readiness and seeds");
        }
        try {
            Main.serve(settings);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ReflectiveOperationException e) {
            throw new SettingsException(ResultCode.USAGE, "this platform has no signals: " + e);
        }
    }
}
