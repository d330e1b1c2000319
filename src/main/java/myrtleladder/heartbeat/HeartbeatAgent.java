package myrtleladder.heartbeat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.BalancerAddress;
import myrtleladder.protocol.BalancerHeartbeat;
import myrtleladder.replication.PeerTransport;
import myrtleladder.scheduler.Scheduler;

/**
 * Sends the heartbeats of this process to its monitors on the ring and records the heartbeats of
 * the processes that it monitors. The live processes are reported to the primary with the next
 * poll, so that a process that is partitioned from the control plane still counts as live.
 *
 * <p>Confined to the event loop of the scheduler.
 */
public final class HeartbeatAgent {
    /** Number of monitors of each process. */
    private static final int MONITOR_COUNT = 2;

    /** Interval between heartbeats. */
    private static final long HEARTBEAT_INTERVAL_MS = 600;

    /** A process counts as live this long after its last heartbeat. */
    private static final long LIVENESS_TIMEOUT_MS = 2_000;

    /** Timeout of a heartbeat request, whose response is ignored. */
    private static final long REQUEST_TIMEOUT_MS = 400;

    private final Scheduler scheduler;
    private final PeerTransport transport;
    private final String selfName;
    private final Map<String, Long> lastHeartbeatMs = new HashMap<>();
    private MonitorRing ring = new MonitorRing(List.of());

    /** Creates an agent for the process with the given name. */
    public HeartbeatAgent(Scheduler scheduler, PeerTransport transport, String selfName) {
        this.scheduler = scheduler;
        this.transport = transport;
        this.selfName = selfName;
    }

    /** Starts to send heartbeats, the first ones immediately. Called once. */
    public void start() {
        sendHeartbeats();
    }

    private void sendHeartbeats() {
        scheduler.schedule(HEARTBEAT_INTERVAL_MS, this::sendHeartbeats);
        for (BalancerAddress monitor : ring.monitorsOf(selfName, MONITOR_COUNT)) {
            transport.call(
                    monitor.address,
                    BalancerHeartbeat.of(selfName),
                    REQUEST_TIMEOUT_MS,
                    answer -> {});
        }
    }

    /** Replaces the processes on the ring and discards the heartbeats of all others. */
    public void setMembers(List<BalancerAddress> members) {
        ring = new MonitorRing(members);
        lastHeartbeatMs
                .keySet()
                .removeIf(name -> members.stream().noneMatch(m -> m.name.equals(name)));
    }

    /** Records a heartbeat of a process that this one monitors. */
    public void onHeartbeat(BalancerHeartbeat heartbeat) {
        lastHeartbeatMs.put(heartbeat.balancer, scheduler.now());
    }

    /** Returns the names of the processes whose last heartbeat has not timed out. */
    public List<String> liveMembers() {
        long nowMs = scheduler.now();
        List<String> names = new ArrayList<>();
        lastHeartbeatMs.forEach(
                (name, atMs) -> {
                    if (nowMs - atMs <= LIVENESS_TIMEOUT_MS) {
                        names.add(name);
                    }
                });
        return names;
    }
}
