package myrtleladder.loadbalancer.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintWriter;
import java.util.Optional;
import java.util.concurrent.Callable;
import myrtleladder.error.OperatorError.PartNotConfigured;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Queries the admin server of a process for the status of its fleet. */
@Command(
        name = "fleet",
        description = "Asks a process what it holds of its fleet.",
        mixinStandardHelpOptions = true,
        subcommands = FleetCommand.Members.class)
final class FleetCommand {
    FleetCommand() {}

    /** Prints the members of the fleet and, if it is configured, the status of the consensus. */
    @Command(
            name = "members",
            description = "Shows who is there, as the process that is asked holds it.",
            mixinStandardHelpOptions = true)
    static final class Members implements Callable<Integer> {
        private static final ObjectMapper JSON = JsonMapper.builder().build();

        @Option(
                names = "--at",
                paramLabel = "ADDRESS",
                required = true,
                description = "admin.listen of the process, as 127.0.0.1:9464")
        private String address;

        @Option(names = "--json", description = "the answer as it came, for programs")
        private boolean isJson;

        @Spec private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            AdminClient client = new AdminClient(address);
            String members =
                    client.get("/members")
                            .orElseThrow(() -> new PartNotConfigured(address, "[fleet]"));
            PrintWriter out = spec.commandLine().getOut();
            if (isJson) {
                out.println(members);
                return 0;
            }
            MembersPrinter printer = new MembersPrinter(out);
            printer.printMembers(JSON.readTree(members));
            Optional<String> consensus = client.get("/agreement");
            if (consensus.isPresent()) {
                printer.printConsensus(JSON.readTree(consensus.get()));
            }
            return 0;
        }
    }
}
