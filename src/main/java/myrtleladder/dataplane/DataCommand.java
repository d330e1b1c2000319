package myrtleladder.dataplane;

import java.nio.file.Path;
import java.util.List;
import myrtleladder.io.ResultCode;
import myrtleladder.process.NodeSettings;
import myrtleladder.process.ProgramCommand;
import myrtleladder.process.SettingsException;

/** The command line of the data plane. */
final class DataCommand {
    private static final String SYNTAX = "myrtleladder-dataplane serve | check [FILE] | rehearse";
    private static final String WORDS =
            """

serve         serve with the settings that MYRTLELADDER_CONFIG names
check [FILE]  check a settings file
rehearse      serve requests of its own on the loopback and end

Exit codes: 0 done, 1 failed with a numbered result, 2 the command line is wrong.""";

    private DataCommand() {}

    static int run(String[] arguments) {
        return ProgramCommand.run(arguments, SYNTAX, WORDS, DataCommand::carryOut);
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
                return ProgramCommand.unknown(words.get(0));
            }
        }
        return 0;
    }

    private static int rehearse() {
        try {
            return Warmup.run() ? 0 : 1;
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
