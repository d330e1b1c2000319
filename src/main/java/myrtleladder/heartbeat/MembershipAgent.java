package myrtleladder.heartbeat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.BalancerAddress;
import myrtleladder.protocol.BalancerHeartbeat;
import myrtleladder.replication.Peers;
import myrtleladder.scheduler.Scheduler;

/**
 * Sends this process' heartbeats to its monitors and remembers those that it monitors. What it
 * hears goes to the primary with the next poll, so that a process cut off from the control plane
 * still counts.
 */
public final class MembershipAgent {
    private static final int MONITORS = 2;
    private static final long HEARTBEAT = 600;
    private static final long ALIVE = 2_000;
    private static final long ANSWER = 400;

    private final Scheduler scheduler;
    private final Peers peers;
    private final String name;
    private final Map<String, Long> heardAt = new HashMap<>();
    private Ring ring = new Ring(List.of());

    /** Creates an agent for a process of a name. */
    public MembershipAgent(Scheduler scheduler, Peers peers, String name) {
        this.scheduler = scheduler;
        this.peers = peers;
        this.name = name;
    }

    /** Begins to send heartbeats. */
    public void start() {
        scheduler.schedule(HEARTBEAT, this::start);
        for (BalancerAddress monitor : ring.monitorsOf(name, MONITORS)) {
            peers.call(monitor.address, BalancerHeartbeat.of(name), ANSWER, answer -> {});
        }
    }

    /** Takes the processes that there are. */
    public void members(List<BalancerAddress> members) {
        ring = new Ring(members);
        heardAt.keySet().removeIf(known -> members.stream().noneMatch(m -> m.name.equals(known)));
    }

    /** Takes a heartbeat. */
    public void heard(BalancerHeartbeat alive) {
        heardAt.put(alive.balancer, scheduler.now());
    }

    /** The processes monitored here that were heard lately. */
    public List<String> alive() {
        long now = scheduler.now();
        List<String> names = new ArrayList<>();
        heardAt.forEach(
                (member, at) -> {
                    if (now - at <= ALIVE) {
                        names.add(member);
                    }
                });
        return names;
    }
}
