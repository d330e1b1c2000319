package myrtleladder.loadbalancer.admin;

import java.net.InetSocketAddress;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import myrtleladder.cluster.ConsensusRuntime;
import myrtleladder.cluster.FaultPointTrigger;
import myrtleladder.cluster.FleetConfiguration;
import myrtleladder.cluster.MaintenanceRuntime;
import myrtleladder.cluster.MembershipRuntime;
import myrtleladder.consensus.ConsensusSettings;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.BadFile;
import myrtleladder.error.OperatorError.NoFile;
import myrtleladder.error.OperatorError.Unexpected;
import myrtleladder.gossip.GossipSettings;
import myrtleladder.gossip.MemberMetadata;
import myrtleladder.loadbalancer.server.RunningBalancer;
import myrtleladder.maintenance.MaintenanceSettings;
import myrtleladder.maintenance.MaintenanceStateMachine;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The program's command line, with all that it can do. {@code java -jar
 * myrtleladder-loadbalancer.jar serve} goes past it: the platform's start loads no class of a
 * library that only this needs.
 */
@Command(
        name = "myrtleladder",
        description = "A load balancer, and what keeps fleets of it running.",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        subcommands = {
            Main.Serve.class,
            Main.Adapter.class,
            Main.Rehearse.class,
            ConfigCommand.class,
            FleetCommand.class,
            myrtleladder.testbed.Main.class
        })
public final class Main {
    /** Nothing on the command line tells an operator who he is: this name of the process does. */
    private static final String NAME = "NODE_NAME";

    private static final System.Logger LOG = System.getLogger(Main.class.getName());

    Main() {}

    /** Runs one command; a server goes on until SIGTERM. */
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        int exit = line().execute(args);
        if (exit != Serve.GOES_ON) {
            System.exit(exit);
        }
    }

    /** The command line; errors are one line that names what is at fault, and end with status 2. */
    static CommandLine line() {
        return new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler(
                        (e, cmd, parsed) -> {
                            OperatorError known =
                                    e instanceof OperatorError o
                                            ? o
                                            : e instanceof NoSuchFileException f
                                                    ? new NoFile(
                                                            Path.of(f.getFile()),
                                                            "there is no such file or folder")
                                                    : new Unexpected(e);
                            cmd.getErr()
                                    .println(
                                            cmd.getCommandSpec().qualifiedName()
                                                    + ": "
                                                    + known.getMessage());
                            return 2;
                        });
    }

    /** The version of the jar, as its manifest has it. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {
                "myrtleladder " + (version == null ? "(not from a jar)" : version)
            };
        }
    }

    /** Serves, with the parts that a file of ours switches on. */
    @Command(
            name = "serve",
            description = "Runs one balancer until SIGTERM; NODE_CONFIG names the platform's file.",
            mixinStandardHelpOptions = true)
    static final class Serve implements Callable<Integer> {
        /** A status that no command ends with: the balancer serves on threads of its own. */
        static final int GOES_ON = -1;

        /** The longest deadline that counts, in microseconds. */
        private static final long LONGEST_ATTEMPT = 3_000_000;

        private static final long JOIN_NANOS = 2_000_000_000;
        private static final long JOIN_STEP_NANOS = 20_000_000;

        @Option(
                names = "--config",
                paramLabel = "FILE",
                description = "our own configuration, as TOML")
        private Path file;

        @Override
        public Integer call() throws Exception {
            Own own = file == null ? Own.DEFAULTS : Own.read(file);
            String env = System.getenv(NAME);
            String name = env == null ? "pid-" + ProcessHandle.current().pid() : env;
            if (file != null) {
                Logs.set(own.log(), name);
            }
            String listen = own.admin().listen();
            InetSocketAddress at =
                    listen == null ? null : Own.address(file, "admin.listen", listen);
            FleetConfiguration fleet = own.fleet() == null ? null : fleet(own.fleet(), name);
            ConsensusSettings council =
                    fleet == null || own.fleet().council() == null
                            ? null
                            : ConsensusSettings.of(own.fleet().name(), own.fleet().council());
            int status =
                    myrtleladder.loadbalancer.server.Main.run(
                            new String[] {"serve"},
                            System.getenv("NODE_CONFIG"),
                            System.err,
                            balancer -> attach(balancer, own, name, at, fleet, council));
            return status == 0 ? GOES_ON : status;
        }

        /** Starts what is configured beside a running balancer; what is not configured is null. */
        private static void attach(
                RunningBalancer balancer,
                Own own,
                String name,
                InetSocketAddress at,
                FleetConfiguration fleet,
                ConsensusSettings council) {
            MembershipRuntime members =
                    fleet == null ? null : MembershipRuntime.start(balancer.loop(), fleet);
            ConsensusRuntime agreement = null;
            MaintenanceRuntime work = null;
            if (council != null) {
                Consumer<Enum<?>> points =
                        FaultPointTrigger.of(System.getProperty(FaultPointTrigger.PROPERTY));
                MaintenanceStateMachine agenda = new MaintenanceStateMachine();
                agreement = ConsensusRuntime.start(members, council, agenda, points);
                MaintenanceSettings settings =
                        MaintenanceSettings.of(
                                own.fleet().name(),
                                LONGEST_ATTEMPT,
                                1_000_000 * own.fleet().longestWorkS());
                work =
                        MaintenanceRuntime.start(
                                agreement,
                                agenda,
                                settings,
                                new Beside(balancer.trafficControl()),
                                points);
            }
            if (at != null) {
                WorkDesk desk =
                        work == null ? null : new WorkDesk(work, name, own.fleet().longestWorkS());
                Admin admin = new Admin(at, name, balancer.status(), members, agreement, desk);
                LOG.log(System.Logger.Level.INFO, "operators are answered at " + admin.address());
            }
            if (work != null) {
                Beside.restrain(balancer, work);
                awaitFleet(work);
            }
        }

        /**
         * Who serves before the fleet knows of him may send to a machine that is out. He can't wait
         * long.
         */
        private static void awaitFleet(MaintenanceRuntime work) {
            long end = System.nanoTime() + JOIN_NANOS;
            while (System.nanoTime() < end && !work.registered().syncUninterruptibly().getNow()) {
                LockSupport.parkNanos(JOIN_STEP_NANOS);
            }
        }

        private FleetConfiguration fleet(Own.FleetPart part, String name) throws BadFile {
            String version = new Version().getVersion()[0];
            MemberMetadata meta =
                    new MemberMetadata(
                            part.zone() == null ? "" : part.zone(),
                            version,
                            System.currentTimeMillis(),
                            List.of("serve"));
            return new FleetConfiguration(
                    GossipSettings.of(part.name()),
                    part.process() == null ? name : part.process(),
                    Own.address(file, "fleet.listen", part.listen()),
                    part.seeds() == null ? List.of() : part.seeds(),
                    part.via() == null ? Map.of() : part.via(),
                    meta);
        }
    }

    /** The decisions on the simulator's wire. */
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

    /** A start without service. */
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
