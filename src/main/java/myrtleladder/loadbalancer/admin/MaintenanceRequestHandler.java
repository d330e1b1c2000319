package myrtleladder.loadbalancer.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.util.concurrent.Future;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import myrtleladder.cluster.MaintenanceRuntime;
import myrtleladder.cluster.MaintenanceStatus;
import myrtleladder.consensus.FencingToken;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.InvalidPlan;
import myrtleladder.error.OperatorError.NoMajority;
import myrtleladder.error.OperatorError.PeerOverloaded;
import myrtleladder.error.OperatorError.StalePermit;
import myrtleladder.error.OperatorError.UnknownMachine;
import myrtleladder.maintenance.JobState;
import myrtleladder.maintenance.MaintenanceJob;
import myrtleladder.maintenance.OperatorCommand;
import myrtleladder.toml.TomlFile;

/**
 * Handles requests of operators and workers for machine maintenance. An accepted request has been
 * proposed to the consensus but not committed; {@code GET /work} shows its result.
 *
 * <p>Called on the admin server's thread, which it blocks until the event loop has answered.
 */
final class MaintenanceRequestHandler {
    private static final ObjectMapper JSON = JsonMapper.builder().build();

    /** Shown in place of a file name in errors about a request body. */
    private static final Path BODY_SOURCE = Path.of("body");

    /** Shown in place of a file name in errors about a plan. */
    private static final Path PLAN_SOURCE = Path.of("plan");

    private final MaintenanceRuntime maintenance;
    private final String process;
    private final long longestWorkS;

    /**
     * The body of a request other than a new plan. Each action needs some of the fields; the others
     * may be null.
     *
     * @param machine name of the machine that the request is about
     * @param plan name of the plan that the request is about
     * @param process name of the process that has ended
     * @param why reason shown to operators
     * @param epoch first part of the machine's permit, which is a fencing token
     * @param index second part of the machine's permit
     */
    record Request(
            String machine, String plan, String process, String why, Long epoch, Long index) {}

    /**
     * Creates a handler for one process.
     *
     * @param process its name, for errors
     * @param longestWorkS maximum seconds for the maintenance of a machine
     */
    MaintenanceRequestHandler(MaintenanceRuntime maintenance, String process, long longestWorkS) {
        this.maintenance = maintenance;
        this.process = process;
        this.longestWorkS = longestWorkS;
    }

    Future<MaintenanceStatus> status() {
        return maintenance.status();
    }

    /**
     * Validates a request and proposes its commands to the consensus.
     *
     * @param action last segment of the path; empty for a new plan
     * @param body in TOML
     * @return a JSON object with the number of commands proposed
     * @throws OperatorError if the request is invalid, the event loop is busy, or this process has
     *     no majority
     */
    String handle(String action, String body) throws OperatorError, JsonProcessingException {
        List<OperatorCommand> commands = commands(action, body);
        boolean isProposed =
                onEventLoop(
                        () -> {
                            if (maintenance.hasMajority()) {
                                maintenance.propose(commands);
                            }
                            return maintenance.hasMajority();
                        });
        if (!isProposed) {
            throw new NoMajority(process);
        }
        return JSON.writeValueAsString(Map.of("steps", commands.size()));
    }

    private List<OperatorCommand> commands(String action, String body) throws OperatorError {
        return switch (action) {
            case "" -> plan(body);
            case "done" -> List.of(done(parse(body)));
            case "halt" -> List.of(OperatorCommand.halt(String.valueOf(parse(body).why())));
            case "resume" -> List.of(OperatorCommand.resume());
            case "safe" -> List.of(OperatorCommand.safe(onEventLoop(maintenance::epoch)));
            case "withdraw" -> {
                Request request = parse(body);
                yield List.of(OperatorCommand.withdraw(machineOrPlan(request), request.why()));
            }
            case "first" -> List.of(OperatorCommand.first(machineOrPlan(parse(body))));
            case "ended" -> {
                String ended = MaintenancePlanReader.requireName("process", parse(body).process());
                yield List.of(OperatorCommand.ended(ended));
            }
            default ->
                    throw new InvalidPlan(
                            "/work/" + action,
                            "is none of done, halt, resume, safe, withdraw, first, ended");
        };
    }

    private static Request parse(String body) throws OperatorError {
        return TomlFile.parse(BODY_SOURCE, body, Request.class);
    }

    private static String machineOrPlan(Request request) throws InvalidPlan {
        return MaintenancePlanReader.requireName(
                "machine or plan", request.machine() == null ? request.plan() : request.machine());
    }

    private List<OperatorCommand> plan(String body) throws OperatorError {
        MaintenancePlanReader.PlanRequest request =
                TomlFile.parse(PLAN_SOURCE, body, MaintenancePlanReader.PlanRequest.class);
        MaintenancePlanReader.requireName("name", request.name());
        return new MaintenancePlanReader(onEventLoop(maintenance::upstreams), longestWorkS)
                .read(request);
    }

    /**
     * Converts a worker's report of finished work; its permit has to be the machine's current one.
     */
    private OperatorCommand done(Request request) throws OperatorError {
        String machine = MaintenancePlanReader.requireName("machine", request.machine());
        if (request.epoch() == null || request.index() == null) {
            throw new InvalidPlan("epoch, index", "of the permit are missing");
        }
        FencingToken permit = new FencingToken(request.epoch(), request.index());
        MaintenanceJob job =
                onEventLoop(() -> Optional.ofNullable(maintenance.job(machine)))
                        .orElseThrow(
                                () -> new UnknownMachine(machine, "has no work on the agenda"));
        boolean isOut = job.state() == JobState.OUT || job.state() == JobState.OVERDUE;
        if (!isOut || !permit.equals(job.permit())) {
            throw new StalePermit(machine, "is " + job.state() + " by " + job.permit());
        }
        return OperatorCommand.done(machine, permit);
    }

    private <T> T onEventLoop(Callable<T> task) throws PeerOverloaded {
        return EventLoopQueries.await(maintenance.submit(task))
                .orElseThrow(() -> new PeerOverloaded(process, "the event loop is busy"));
    }
}
