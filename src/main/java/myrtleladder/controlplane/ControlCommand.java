package myrtleladder.controlplane;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import myrtleladder.process.NodeSettings;
import myrtleladder.process.ProgramCommand;
import myrtleladder.process.SettingsException;
import myrtleladder.protocol.StoredState;
import myrtleladder.result.ResultCode;
import myrtleladder.result.ResultException;

/** The command line of the control plane. */
final class ControlCommand implements ProgramCommand.Program {
    private ControlCommand() {}

    /** Runs a command line and returns the exit code. */
    static int run(String[] arguments) {
        return new ProgramCommand(
                        new ControlCommand(),
                        new ProgramCommand.Subcommand(
                                "store",
                                "store FOLDER",
                                "verify the state in a folder and tell what it holds",
                                ControlCommand::verifyStore))
                .run(arguments);
    }

    @Override
    public String name() {
        return "myrtleladder-controlplane";
    }

    @Override
    public void serve(NodeSettings settings)
            throws InterruptedException, ReflectiveOperationException {
        if (settings.control() == null || settings.dataFolder().isEmpty()) {
            throw new SettingsException(
                    ResultCode.SETTINGS_VALUE, "a control node needs listen.control and data_dir");
        }
        Main.serve(settings);
    }

    @Override
    public boolean warmUp() throws IOException, InterruptedException {
        return ClassArchiveTrainingRun.run();
    }

    /** Prints the content of each state file; fails if none is readable. */
    private static int verifyStore(List<String> arguments) {
        if (arguments.size() < 2) {
            throw new SettingsException(ResultCode.USAGE, "store wants a folder");
        }
        int readable = 0;
        for (StateStore.StateFile file : new StateStore(Path.of(arguments.get(1))).files()) {
            try {
                StoredState state = StateStore.read(file.path());
                readable++;
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
            } catch (ResultException e) {
                System.out.println(file.path() + ": " + e.getMessage());
            }
        }
        return readable > 0 ? ProgramCommand.SUCCESS_EXIT_CODE : ProgramCommand.FAILURE_EXIT_CODE;
    }
}
