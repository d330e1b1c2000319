package myrtleladder.maintenance;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import myrtleladder.consensus.ConsensusNode;
import myrtleladder.consensus.ProcessId;

/**
 * Leases to send by what is known here (Gray and Cheriton, 1989). Each process asks the leader for
 * one again and again; a leader with a quorum grants it. A lease counts from when it was asked for,
 * by the clock of who holds it, and whoever holds one knows all that was committed when it was
 * granted.
 */
final class SendLeaseManager {
    /** Half of the least value, so that the time since then can be calculated. */
    private static final long NEVER_US = Long.MIN_VALUE / 2;

    /** How each datagram of this protocol begins. */
    private static final byte[] PREFIX = "{\"leave\":".getBytes(StandardCharsets.US_ASCII);

    private final MaintenanceSettings settings;
    private final ProcessId self;
    private final ConsensusNode consensus;
    private final MaintenanceStateMachine state;
    private final MaintenanceEnvironment environment;
    private final Map<ProcessId, Long> grantedUs = new HashMap<>();
    private final Map<String, Long> dropped = new TreeMap<>();
    private boolean isLeader;
    private long roleSinceUs;
    private long leaseEndUs = NEVER_US;

    SendLeaseManager(
            MaintenanceSettings settings,
            ProcessId self,
            ConsensusNode consensus,
            MaintenanceStateMachine state,
            MaintenanceEnvironment environment) {
        this.settings = settings;
        this.self = self;
        this.consensus = consensus;
        this.state = state;
        this.environment = environment;
    }

    static boolean isLeaseDatagram(byte[] datagram) {
        return datagram.length >= PREFIX.length
                && Arrays.equals(datagram, 0, PREFIX.length, PREFIX, 0, PREFIX.length);
    }

    /** Notes whether this node leads; leases that another leader has granted are not known here. */
    void updateRole(long nowUs) {
        if (isLeader != consensus.isLeader()) {
            isLeader = consensus.isLeader();
            roleSinceUs = nowUs;
            grantedUs.clear();
        }
    }

    boolean isLeader() {
        return isLeader;
    }

    /** Whether this process has a lease; a leader needs a quorum instead. */
    boolean hasLease(long nowUs) {
        return isLeader ? consensus.hasQuorum(nowUs) : nowUs < leaseEndUs;
    }

    /** Whether a process may have a lease; an earlier leader may have granted one. */
    boolean mayHaveLease(long nowUs, ProcessId process) {
        long sinceGrantUs = nowUs - grantedUs.getOrDefault(process, NEVER_US);
        return nowUs - roleSinceUs < settings.leaseExpiryUs()
                || sinceGrantUs < settings.leaseExpiryUs();
    }

    /** Asks the leader for a lease. */
    void requestLease(long nowUs) {
        ProcessId leader = consensus.leader();
        if (leader != null && !leader.equals(self)) {
            environment.onFaultPoint(MaintenanceFaultPoint.LEAVE_ASKING);
            environment.send(
                    leader.name(),
                    JsonMaps.write(
                            JsonMaps.map(
                                    "leave",
                                    "ask",
                                    "fleet",
                                    settings.fleet(),
                                    "from",
                                    toMap(self),
                                    "at",
                                    nowUs)));
        }
    }

    /** Handles a request or a response; one that is malformed or for another process is dropped. */
    void onDatagram(long nowUs, byte[] datagram) {
        try {
            Map<String, Object> message = JsonMaps.read(datagram);
            ProcessId from = toProcessId(JsonMaps.object(message, "from"));
            if (!settings.fleet().equals(JsonMaps.text(message, "fleet"))) {
                drop("foreign");
            } else if (JsonMaps.text(message, "leave").equals("ask")) {
                onRequest(nowUs, from, JsonMaps.number(message, "at"));
            } else if (toProcessId(JsonMaps.object(message, "to")).equals(self)) {
                long requestedUs = JsonMaps.number(message, "at");
                onResponse(nowUs, from, requestedUs, JsonMaps.number(message, "upto"));
            } else {
                drop("other life");
            }
        } catch (IOException | ClassCastException | NullPointerException e) {
            // The last two: a field is missing or of another type.
            drop("malformed");
        }
    }

    private void onRequest(long nowUs, ProcessId from, long requestedUs) {
        environment.onFaultPoint(MaintenanceFaultPoint.LEAVE_ASKED);
        if (!consensus.isLeader() || !consensus.hasQuorum(nowUs) || !state.isRegistered(from)) {
            return;
        }
        grantedUs.put(from, nowUs);
        environment.onFaultPoint(MaintenanceFaultPoint.LEAVE_GIVEN);
        environment.send(
                from.name(),
                JsonMaps.write(
                        JsonMaps.map(
                                "leave",
                                "given",
                                "fleet",
                                settings.fleet(),
                                "from",
                                toMap(self),
                                "to",
                                toMap(from),
                                "at",
                                requestedUs,
                                "upto",
                                consensus.lastApplied())));
    }

    /** Takes a lease if all that was committed when it was granted is applied here. */
    private void onResponse(long nowUs, ProcessId from, long requestedUs, long appliedByLeader) {
        environment.onFaultPoint(MaintenanceFaultPoint.LEAVE_TAKEN);
        if (from.equals(consensus.leader())
                && consensus.lastApplied() >= appliedByLeader
                && requestedUs <= nowUs) {
            leaseEndUs = Math.max(leaseEndUs, requestedUs + settings.leaseUs());
        }
    }

    private void drop(String reason) {
        dropped.merge(reason, 1L, Long::sum);
    }

    /** How many datagrams were dropped, by reason. */
    Map<String, Long> droppedDatagrams() {
        return Map.copyOf(dropped);
    }

    private static Map<String, Object> toMap(ProcessId process) {
        return JsonMaps.map("name", process.name(), "life", process.startId());
    }

    private static ProcessId toProcessId(Map<String, Object> map) {
        return new ProcessId(JsonMaps.text(map, "name"), JsonMaps.number(map, "life"));
    }
}
