package myrtleladder.loadbalancer.admin;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import myrtleladder.cluster.ConsensusRuntime;
import myrtleladder.cluster.FaultPointTrigger;
import myrtleladder.cluster.FleetConfiguration;
import myrtleladder.cluster.MaintenanceRuntime;
import myrtleladder.cluster.MembershipRuntime;
import myrtleladder.consensus.ConsensusSettings;
import myrtleladder.error.OperatorError.InvalidConfigurationFile;
import myrtleladder.gossip.GossipSettings;
import myrtleladder.gossip.MemberMetadata;
import myrtleladder.loadbalancer.server.RunningBalancer;
import myrtleladder.maintenance.MaintenanceSettings;
import myrtleladder.maintenance.MaintenanceStateMachine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one load balancer and the components that the operators' configuration enables. */
@Command(
        name = "serve",
        description = "Runs one balancer until SIGTERM; NODE_CONFIG names the platform's file.",
        mixinStandardHelpOptions = true)
final class ServeCommand implements Callable<Integer> {
    /**
     * Returned by {@link #call} once the load balancer serves on its own threads; never used as an
     * exit status.
     */
    static final int SERVING = -1;

    private static final System.Logger LOG = System.getLogger(ServeCommand.class.getName());

    /**
     * Environment variable with the name of this process in logs and metrics, and in the fleet
     * unless the configuration names it there.
     */
    private static final String NAME_VARIABLE = "NODE_NAME";

    /**
     * Environment variable with the path of the platform's configuration file, which is separate
     * from the operators' file of {@code --config}.
     */
    private static final String CONFIGURATION_VARIABLE = "NODE_CONFIG";

    /** Capabilities of this process that it publishes to other members. */
    private static final List<String> CAPABILITIES = List.of("serve");

    /**
     * Longest request deadline, in microseconds, that maintenance takes into account: it assumes
     * that no attempt at an upstream is in flight for longer.
     */
    private static final long LONGEST_ATTEMPT_US = 3_000_000;

    /** Limit of the wait for registration: the platform expects a load balancer to serve soon. */
    private static final long REGISTRATION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Interval at which the registration is polled. */
    private static final long REGISTRATION_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    @Option(names = "--config", paramLabel = "FILE", description = "our own configuration, as TOML")
    private Path file;

    @Override
    public Integer call() throws Exception {
        OperatorConfiguration configuration =
                file == null
                        ? OperatorConfiguration.DEFAULTS
                        : OperatorConfigurationReader.read(file);
        String name = processName();
        if (file != null) {
            LogConfigurator.configure(configuration.log(), name);
        }
        Attachments attachments = attachments(configuration, name);
        int status =
                myrtleladder.loadbalancer.server.Main.run(
                        new String[] {"serve"},
                        System.getenv(CONFIGURATION_VARIABLE),
                        System.err,
                        attachments::start);
        return status == 0 ? SERVING : status;
    }

    private static String processName() {
        String name = System.getenv(NAME_VARIABLE);
        return name == null ? "pid-" + ProcessHandle.current().pid() : name;
    }

    private Attachments attachments(OperatorConfiguration configuration, String name)
            throws InvalidConfigurationFile {
        String adminListen = configuration.admin().listen();
        InetSocketAddress adminAddress =
                adminListen == null
                        ? null
                        : OperatorConfigurationReader.parseAddress(
                                file, "admin.listen", adminListen);
        OperatorConfiguration.FleetSection section = configuration.fleet();
        if (section == null) {
            return new Attachments(name, adminAddress, null, null, null);
        }
        FleetConfiguration fleet = fleetConfiguration(section, name);
        if (section.council() == null) {
            return new Attachments(name, adminAddress, section, fleet, null);
        }
        ConsensusSettings consensus = ConsensusSettings.of(section.name(), section.council());
        return new Attachments(name, adminAddress, section, fleet, consensus);
    }

    private FleetConfiguration fleetConfiguration(
            OperatorConfiguration.FleetSection section, String name)
            throws InvalidConfigurationFile {
        MemberMetadata metadata =
                new MemberMetadata(
                        section.zone() == null ? "" : section.zone(),
                        Main.Version.text(),
                        System.currentTimeMillis(),
                        CAPABILITIES);
        return new FleetConfiguration(
                GossipSettings.of(section.name()),
                section.process() == null ? name : section.process(),
                OperatorConfigurationReader.parseAddress(file, "fleet.listen", section.listen()),
                section.seeds() == null ? List.of() : section.seeds(),
                section.via() == null ? Map.of() : section.via(),
                metadata);
    }

    /**
     * Settings of the components that run beside the load balancer; null for those not configured.
     *
     * @param name name of this process in metrics and errors
     */
    private record Attachments(
            String name,
            InetSocketAddress adminAddress,
            OperatorConfiguration.FleetSection section,
            FleetConfiguration fleet,
            ConsensusSettings consensusSettings) {

        /** Starts the configured components, before the load balancer serves. */
        void start(RunningBalancer balancer) {
            MembershipRuntime membership =
                    fleet == null ? null : MembershipRuntime.start(balancer.loop(), fleet);
            ConsensusRuntime consensus = null;
            MaintenanceRuntime maintenance = null;
            if (consensusSettings != null) {
                Consumer<Enum<?>> faultPoints =
                        FaultPointTrigger.of(System.getProperty(FaultPointTrigger.PROPERTY));
                MaintenanceStateMachine stateMachine = new MaintenanceStateMachine();
                consensus =
                        ConsensusRuntime.start(
                                membership, consensusSettings, stateMachine, faultPoints);
                maintenance =
                        MaintenanceRuntime.start(
                                consensus,
                                stateMachine,
                                maintenanceSettings(),
                                new LoadBalancerAdapter(balancer.trafficControl()),
                                faultPoints);
            }
            if (adminAddress != null) {
                startAdminServer(balancer, membership, consensus, maintenance);
            }
            if (maintenance != null) {
                LoadBalancerAdapter.admitAttemptsBy(maintenance, balancer);
                awaitRegistration(maintenance);
            }
        }

        private MaintenanceSettings maintenanceSettings() {
            return MaintenanceSettings.of(
                    section.name(),
                    LONGEST_ATTEMPT_US,
                    TimeUnit.SECONDS.toMicros(section.longestWorkS()));
        }

        private void startAdminServer(
                RunningBalancer balancer,
                MembershipRuntime membership,
                ConsensusRuntime consensus,
                MaintenanceRuntime maintenance) {
            MaintenanceRequestHandler requestHandler =
                    maintenance == null
                            ? null
                            : new MaintenanceRequestHandler(
                                    maintenance, name, section.longestWorkS());
            AdminServer server =
                    new AdminServer(
                            adminAddress,
                            name,
                            balancer.status(),
                            membership,
                            consensus,
                            requestHandler);
            LOG.log(System.Logger.Level.INFO, "operators are answered at " + server.address());
        }

        /**
         * Blocks until this process is registered with the fleet or the timeout has passed; after
         * the timeout, startup continues without registration. Before registration this process
         * might send requests to a machine that is out for maintenance.
         */
        private static void awaitRegistration(MaintenanceRuntime maintenance) {
            long deadlineNanos = System.nanoTime() + REGISTRATION_TIMEOUT_NANOS;
            while (System.nanoTime() < deadlineNanos
                    && !maintenance.isRegistered().syncUninterruptibly().getNow()) {
                LockSupport.parkNanos(REGISTRATION_POLL_NANOS);
            }
        }
    }
}
