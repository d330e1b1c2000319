package myrtleladder.loadbalancer.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.function.Supplier;
import myrtleladder.cluster.ConsensusRuntime;
import myrtleladder.cluster.MembershipRuntime;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.NoMajority;
import myrtleladder.error.OperatorError.PeerOverloaded;
import myrtleladder.error.OperatorError.StalePermit;
import myrtleladder.error.OperatorError.UnknownMachine;

/**
 * Routes admin requests by method and path. It runs on the admin server's thread and may block it
 * until the event loop has answered.
 */
final class AdminRequestRouter {
    private static final ObjectMapper JSON = JsonMapper.builder().build();
    private static final String MAINTENANCE_PATH = "/work";
    private static final String MAINTENANCE_PREFIX = MAINTENANCE_PATH + "/";

    private final BalancerMetrics metrics;
    private final MembershipRuntime membership;
    private final ConsensusRuntime consensus;
    private final MaintenanceRequestHandler maintenance;

    /** Creates a router; all parameters but {@code metrics} are null if not configured. */
    AdminRequestRouter(
            BalancerMetrics metrics,
            MembershipRuntime membership,
            ConsensusRuntime consensus,
            MaintenanceRequestHandler maintenance) {
        this.metrics = metrics;
        this.membership = membership;
        this.consensus = consensus;
        this.maintenance = maintenance;
    }

    AdminResponse get(String path) throws JsonProcessingException {
        return switch (path) {
            case "/metrics" ->
                    metrics.scrape().map(AdminResponse::metrics).orElseGet(AdminResponse::busy);
            case "/members" -> status(membership == null ? null : membership::status, "peers are");
            case "/agreement" -> status(consensus == null ? null : consensus::status, "council is");
            case MAINTENANCE_PATH ->
                    status(maintenance == null ? null : maintenance::status, "council is");
            default ->
                    AdminResponse.message(
                            HttpResponseStatus.NOT_FOUND,
                            "try /metrics, /members, /agreement or /work");
        };
    }

    /** Responds with the result of a status query; null if the component is not configured. */
    private static AdminResponse status(Supplier<? extends Future<?>> query, String whatIsMissing)
            throws JsonProcessingException {
        if (query == null) {
            return AdminResponse.message(
                    HttpResponseStatus.NOT_FOUND, "no " + whatIsMissing + " configured");
        }
        Optional<?> status = EventLoopQueries.await(query.get());
        return status.isEmpty()
                ? AdminResponse.busy()
                : AdminResponse.json(HttpResponseStatus.OK, JSON.writeValueAsString(status.get()));
    }

    AdminResponse post(String path, String body) throws JsonProcessingException {
        if (maintenance == null) {
            return AdminResponse.message(HttpResponseStatus.NOT_FOUND, "no council is configured");
        }
        String action;
        if (path.equals(MAINTENANCE_PATH)) {
            action = "";
        } else if (path.startsWith(MAINTENANCE_PREFIX)) {
            action = path.substring(MAINTENANCE_PREFIX.length());
        } else {
            return AdminResponse.message(HttpResponseStatus.NOT_FOUND, "only /work takes anything");
        }
        try {
            return AdminResponse.json(
                    HttpResponseStatus.ACCEPTED, maintenance.handle(action, body));
        } catch (OperatorError e) {
            return AdminResponse.message(statusOf(e), e.getMessage());
        }
    }

    private static HttpResponseStatus statusOf(OperatorError error) {
        if (error instanceof UnknownMachine) {
            return HttpResponseStatus.NOT_FOUND;
        }
        if (error instanceof StalePermit) {
            return HttpResponseStatus.CONFLICT;
        }
        if (error instanceof NoMajority || error instanceof PeerOverloaded) {
            return HttpResponseStatus.SERVICE_UNAVAILABLE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }
}
