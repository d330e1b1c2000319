package myrtleladder.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.protocol.BalancerHeartbeat;
import myrtleladder.replication.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The heartbeats that an agent sends and records, on a ring of three processes. */
class HeartbeatAgentTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final List<String> calledAddresses = new ArrayList<>();
    private final HeartbeatAgent agent =
            new HeartbeatAgent(
                    clock,
                    (address, message, timeoutMs, answer) -> calledAddresses.add(address),
                    "edge-0");

    @BeforeEach
    void startAgent() {
        agent.setMembers(MonitorRingTest.members(3));
        agent.start();
        clock.run(600);
    }

    @Test
    void heartbeatsAreSentToBothMonitorsAtOnceAndAfterTheInterval() {
        assertEquals(4, calledAddresses.size());
        assertEquals(2, calledAddresses.stream().distinct().count());
    }

    @Test
    void monitoredProcessIsLiveUntilItsHeartbeatTimesOut() {
        agent.onHeartbeat(BalancerHeartbeat.of("edge-1"));
        assertEquals(List.of("edge-1"), agent.liveMembers());
        clock.run(2_100);
        assertEquals(List.of(), agent.liveMembers());
    }
}
