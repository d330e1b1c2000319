package myrtleladder.controlplane;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import myrtleladder.io.ResultCode;
import myrtleladder.io.SystemException;
import myrtleladder.process.NodeSettings;
import myrtleladder.process.ProgramCommand;
import myrtleladder.process.SettingsException;
import myrtleladder.protocol.StoredState;

/** The command line of the control plane. */
final class ControlCommand {
    private static final String SYNTAX =
            "myrtleladder-controlplane serve | check [FILE] | rehearse | store FOLDER";
    private static final String WORDS =
            """

serve         serve with the settings that MYRTLELADDER_CONFIG names
check [FILE]  check a settings file
rehearse      serve requests of its own on the loopback and end
store FOLDER  verify the state in a folder and tell what it holds

Exit codes: 0 done, 1 failed with a numbered result, 2 the command line is wrong.""";

    private ControlCommand() {}

    static int run(String[] arguments) {
        return ProgramCommand.run(arguments, SYNTAX, WORDS, ControlCommand::carryOut);
    }

    private static int carryOut(List<String> words) {
        switch (words.get(0)) {
            case "serve" -> serve();
            case "rehearse" -> {
                return rehearse();
            }
            case "check" -> System.out.println(settings(words) + "\nsettings are sound");
            case "store" -> {
                return verify(words);
            }
            default -> {
                return ProgramCommand.unknown(words.get(0));
            }
        }
        return 0;
    }

    private static NodeSettings settings(List<String> words) {
        return words.size() > 1
                ? NodeSettings.read(Path.of(words.get(1)))
                : NodeSettings.fromEnvironment();
    }

    private static int rehearse() {
        try {
            return Warmup.run() ? 0 : 1;
        } catch (IOException | InterruptedException e) {
            System.err.println(e);
            return 1;
        }
    }

    private static void serve() {
        NodeSettings settings = NodeSettings.fromEnvironment();
        if (settings.control() == null || settings.dataFolder().isEmpty()) {
            throw new SettingsException(
                    ResultCode.SETTINGS_VALUE, "a control node needs listen.control and data_dir");
        }
        try {
            Main.serve(settings);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ReflectiveOperationException e) {
            throw new SettingsException(ResultCode.USAGE, "this platform has no signals: " + e);
        }
    }

    private static int verify(List<String> words) {
        if (words.size() < 2) {
            throw new SettingsException(ResultCode.USAGE, "store wants a folder");
        }
        int sound = 0;
        for (StateStore.StateFile file : new StateStore(Path.of(words.get(1))).files()) {
            try {
                StoredState state = StateStore.read(file.path());
                sound++;
                System.out.println(
                        file.path()
                                + ": store "
                                + state.storeId
                                + ", promised "
                                + state.promisedEpoch
                                + ", "
                                + state.acceptedView
                                + ", generation "
                                + state.snapshot.generation
                                + ", "
                                + state.snapshot.changeDigests.size()
                                + " orders");
            } catch (SystemException e) {
                System.out.println(file.path() + ": " + e.getMessage());
            }
        }
        return sound > 0 ? 0 : 1;
    }
}
