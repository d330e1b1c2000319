package myrtleladder.dataplane;

import myrtleladder.process.NodeSettings;
import myrtleladder.process.ProgramCommand;
import myrtleladder.process.SettingsException;
import myrtleladder.result.ResultCode;

/** The command line of the data plane. */
final class DataCommand implements ProgramCommand.Program {
    private DataCommand() {}

    /** Runs a command line and returns the exit code. */
    static int run(String[] arguments) {
        return new ProgramCommand(new DataCommand()).run(arguments);
    }

    @Override
    public String name() {
        return "myrtleladder-dataplane";
    }

    @Override
    public void serve(NodeSettings settings)
            throws InterruptedException, ReflectiveOperationException {
        if (settings.frontend() == null
                || settings.readiness() == null
                || settings.seeds().isEmpty()) {
            throw new SettingsException(
                    ResultCode.SETTINGS_VALUE,
                    "a balancer needs listen.frontend, listen.readiness and seeds");
        }
        Main.serve(settings);
    }

    @Override
    public boolean warmUp() throws InterruptedException {
        return ClassArchiveTrainingRun.run();
    }
}
