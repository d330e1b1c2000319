package myrtleladder.loadbalancer.simulator;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.error.OperatorError.InvalidInput;
import myrtleladder.loadbalancer.policy.AttemptEnd;
import myrtleladder.loadbalancer.policy.EndpointListKind;
import myrtleladder.loadbalancer.policy.LoadReport;
import myrtleladder.loadbalancer.policy.Outcome;
import myrtleladder.loadbalancer.policy.Request;
import myrtleladder.loadbalancer.policy.Upstream;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * Validates events of the simulator and delivers each to its instance of the decision module.
 * Confined to the adapter's thread.
 */
final class EventDispatcher {
    private static final Set<String> EVENT_KINDS =
            Set.of(
                    "create",
                    "destroy",
                    "sync",
                    "work-item",
                    "answer",
                    "ping-result",
                    "client-gone",
                    "opened",
                    "reminder",
                    "whisper");
    private static final Outcome[] OUTCOMES = Outcome.values();
    private static final Map<String, EndpointListKind> LIST_KIND_BY_FORM =
            Map.of(
                    "update",
                    EndpointListKind.CHANGES,
                    "replace",
                    EndpointListKind.COMPLETE,
                    "restored",
                    EndpointListKind.RESTORED,
                    "unavailable",
                    EndpointListKind.UNAVAILABLE);

    private final InstanceRegistry instances;
    private final PrintStream errorOutput;

    /** Names of the load report values, by instance number. */
    private final Map<Integer, List<String>> reportNames = new HashMap<>();

    /** Writes one line to {@code errorOutput} for each event that is skipped. */
    EventDispatcher(InstanceRegistry instances, PrintStream errorOutput) {
        this.instances = instances;
        this.errorOutput = errorOutput;
    }

    /**
     * Dispatches one event at the time {@code nowUs}. An event of an unknown kind is skipped.
     *
     * @throws InvalidInput if a field is missing or malformed, or the instance does not exist
     */
    void dispatch(SimulatorEvent event, long nowUs) throws InvalidInput {
        EventReader.require(event.kind != null, "kind");
        if (!EVENT_KINDS.contains(event.kind)) {
            errorOutput.println("skipped an event of unknown kind " + event.kind);
            return;
        }
        int instance = requireInteger(event.instance, "who");
        switch (event.kind) {
            case "create" -> dispatchCreate(event, instance, nowUs);
            case "destroy" -> {
                instances.destroy(instance);
                reportNames.remove(instance);
            }
            case "sync" -> dispatchEndpointList(event, instance, nowUs);
            case "work-item" -> dispatchRequest(event, instance, nowUs);
            case "answer" -> dispatchAttemptEnd(event, instance, nowUs);
            case "ping-result" -> dispatchProbeResult(event, instance, nowUs);
            case "client-gone" -> {
                EventReader.require(event.requestId != null, "corr");
                instances.deliver(
                        instance,
                        balancer -> balancer.onClientDisconnected(nowUs, event.requestId));
            }
            case "opened" -> {
                EventReader.require(event.requestId != null, "corr");
                int attempt = requireInteger(event.attempt, "attempt");
                instances.deliver(
                        instance,
                        balancer -> balancer.onStreamOpened(nowUs, event.requestId, attempt));
            }
            case "reminder" -> {
                EventReader.require(event.timerToken != null, "ctx");
                instances.deliver(instance, balancer -> balancer.onTimer(nowUs, event.timerToken));
            }
            default -> dispatchPeerMessage(event, instance, nowUs);
        }
    }

    private void dispatchCreate(SimulatorEvent event, int instance, long nowUs)
            throws InvalidInput {
        EventReader.require(event.settings != null, "facts");
        requireInteger(event.seed, "init-seed");
        reportNames.put(instance, event.settings.reportNames());
        instances.create(instance, nowUs, event.seedBits, event.settings.balancer());
    }

    private void dispatchEndpointList(SimulatorEvent event, int instance, long nowUs)
            throws InvalidInput {
        EndpointListKind kind =
                event.endpointListForm == null
                        ? null
                        : LIST_KIND_BY_FORM.get(event.endpointListForm);
        EventReader.require(kind != null, "form");
        EventReader.require(
                event.upstreams != null || kind == EndpointListKind.UNAVAILABLE, "elements");
        List<Upstream> upstreams = event.upstreams == null ? List.of() : event.upstreams;
        instances.deliver(instance, balancer -> balancer.onEndpointList(nowUs, kind, upstreams));
    }

    private void dispatchRequest(SimulatorEvent event, int instance, long nowUs)
            throws InvalidInput {
        EventReader.require(event.requestId != null, "corr");
        EventReader.require(!Double.isNaN(event.timeToDeadlineS), "time-budget-s");
        int classIndex = requireInteger(event.classIndex, "lane");
        Request request =
                new Request(
                        event.requestId,
                        classIndex,
                        Double.isNaN(event.tenant) ? 0 : (int) event.tenant,
                        event.affinityKey,
                        Double.isNaN(event.expectedWorkS)
                                ? 0
                                : SettingsReader.toMicros(event.expectedWorkS),
                        SettingsReader.toMicros(event.timeToDeadlineS),
                        event.isWrite,
                        event.isRetry);
        instances.deliver(instance, balancer -> balancer.onRequest(nowUs, request));
    }

    private void dispatchAttemptEnd(SimulatorEvent event, int instance, long nowUs)
            throws InvalidInput {
        EventReader.require(event.requestId != null, "corr");
        EventReader.require(event.upstream != null, "upstream");
        EventReader.require(event.isConcluded != null, "last");
        AttemptEnd end =
                new AttemptEnd(
                        event.requestId,
                        requireInteger(event.attempt, "attempt"),
                        event.upstream,
                        requireOutcome(event),
                        requireDurationUs(event),
                        event.isConcluded,
                        loadReport(event, instance));
        instances.deliver(instance, balancer -> balancer.onAttemptEnd(nowUs, end));
    }

    private void dispatchProbeResult(SimulatorEvent event, int instance, long nowUs)
            throws InvalidInput {
        EventReader.require(event.upstream != null, "upstream");
        Outcome outcome = requireOutcome(event);
        LoadReport load = loadReport(event, instance);
        instances.deliver(
                instance, balancer -> balancer.onProbeResult(nowUs, event.upstream, outcome, load));
    }

    private void dispatchPeerMessage(SimulatorEvent event, int instance, long nowUs)
            throws InvalidInput {
        int peer = requireInteger(event.peer, "from");
        EventReader.require(event.peerMessage != null, "body");
        byte[] message;
        try {
            message = HexFormat.of().parseHex(event.peerMessage);
        } catch (IllegalArgumentException e) {
            throw new InvalidInput("field body is not hex digits");
        }
        instances.deliver(instance, balancer -> balancer.onPeerMessage(nowUs, peer, message));
    }

    private static long requireDurationUs(SimulatorEvent event) throws InvalidInput {
        EventReader.require(!Double.isNaN(event.durationS), "took-s");
        return SettingsReader.toMicros(event.durationS);
    }

    private static Outcome requireOutcome(SimulatorEvent event) throws InvalidInput {
        int ordinal = requireInteger(event.outcome, "ending");
        if (ordinal < 0 || ordinal >= OUTCOMES.length) {
            throw new InvalidInput("field ending has no outcome " + ordinal);
        }
        return OUTCOMES[ordinal];
    }

    /**
     * Returns null if the event has no load report or the settings of the instance are not known.
     */
    private LoadReport loadReport(SimulatorEvent event, int instance) {
        List<String> names = reportNames.get(instance);
        if (event.loadValues == null || names == null) {
            return null;
        }
        double[] values = new double[SettingsReader.LOAD_REPORT_FIELDS.size()];
        Arrays.fill(values, Double.NaN);
        for (int i = 0; i < names.size() && i < event.loadValues.length; i++) {
            int index = SettingsReader.LOAD_REPORT_FIELDS.indexOf(names.get(i));
            if (index >= 0) {
                values[index] = event.loadValues[i];
            }
        }
        return SettingsReader.toLoadReport(values);
    }

    private static int requireInteger(double value, String field) throws InvalidInput {
        EventReader.require(!Double.isNaN(value), field);
        return (int) value;
    }
}
