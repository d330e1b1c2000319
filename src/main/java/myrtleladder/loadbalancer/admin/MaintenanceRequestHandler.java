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
 * Handles requests of operators and workers on the maintenance of machines. An accepted request is
 * proposed to the consensus and not committed yet; {@code GET /work} shows what becomes of it.
 *
 * <p>Called by the thread of the admin server, which it blocks until the event loop has answered.
 */
final class MaintenanceRequestHandler {
    private static final ObjectMapper JSON = JsonMapper.builder().build();

    /** Stands for a file in errors on the body of a request. */
    private static final Path BODY = Path.of("body");

    /** The same for a plan. */
    private static final Path PLAN = Path.of("plan");

    private final MaintenanceRuntime maintenance;
    private final String process;
    private final long longestWorkS;

    /**
     * The body of a request on something that is known; each action needs some of its fields, the
     * others are null.
     *
     * @param machine that the request is about
     * @param plan that the request is about
     * @param process that has ended
     * @param why shown to operators
     * @param epoch of the machine's permit
     * @param index of the machine's permit
     */
    record Request(
            String machine, String plan, String process, String why, Long epoch, Long index) {}

    /**
     * Handles requests at one process.
     *
     * @param process its name, for errors
     * @param longestWorkS seconds that the maintenance of a machine may take
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
     * Handles a request.
     *
     * @param action last part of the path; empty for a new plan
     * @param body TOML
     * @return a JSON object with the number of commands proposed
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
        return TomlFile.parse(BODY, body, Request.class);
    }

    private static String machineOrPlan(Request request) throws InvalidPlan {
        return MaintenancePlanReader.requireName(
                "machine or plan", request.machine() == null ? request.plan() : request.machine());
    }

    private List<OperatorCommand> plan(String body) throws OperatorError {
        MaintenancePlanReader.PlanRequest request =
                TomlFile.parse(PLAN, body, MaintenancePlanReader.PlanRequest.class);
        MaintenancePlanReader.requireName("name", request.name());
        return new MaintenancePlanReader(onEventLoop(maintenance::upstreams), longestWorkS)
                .read(request);
    }

    /** A worker reports the end of its work, with the permit under which it did it. */
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
