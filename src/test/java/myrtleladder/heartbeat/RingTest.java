package myrtleladder.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import myrtleladder.protocol.BalancerAddress;
import myrtleladder.protocol.BalancerHeartbeat;
import myrtleladder.replication.ManualScheduler;
import org.junit.jupiter.api.Test;

/** Who watches whom, and what a monitor hears. */
class RingTest {
    private static List<BalancerAddress> members(int count) {
        List<BalancerAddress> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(BalancerAddress.of("edge-" + i, "10.0.0." + i + ":7500"));
        }
        return members;
    }

    @Test
    void eachIsWatchedByTwoOthersWhateverTheOrderTold() {
        List<BalancerAddress> members = members(20);
        List<BalancerAddress> shuffled = new ArrayList<>(members);
        Collections.shuffle(shuffled, new Random(3));
        Map<String, Integer> watched = new HashMap<>();
        for (BalancerAddress member : members) {
            List<String> monitors =
                    new Ring(members).monitorsOf(member.name, 2).stream().map(m -> m.name).toList();
            assertEquals(
                    monitors,
                    new Ring(shuffled)
                            .monitorsOf(member.name, 2).stream().map(m -> m.name).toList());
            assertEquals(2, monitors.size());
            assertFalse(monitors.contains(member.name));
            monitors.forEach(m -> watched.merge(m, 1, Integer::sum));
        }
        assertTrue(watched.values().stream().allMatch(n -> n == 2), watched.toString());
    }

    @Test
    void fewProcessesWatchEachOtherAndAnUnknownOneNobody() {
        assertEquals(1, new Ring(members(2)).monitorsOf("edge-0", 2).size());
        assertEquals(0, new Ring(members(1)).monitorsOf("edge-0", 2).size());
        assertEquals(0, new Ring(members(5)).monitorsOf("other", 2).size());
    }

    @Test
    void heartbeatsGoToTheMonitorsAndSilenceIsNoticed() {
        ManualScheduler clock = new ManualScheduler();
        List<String> called = new ArrayList<>();
        MembershipAgent agent =
                new MembershipAgent(
                        clock, (to, message, timeout, answer) -> called.add(to), "edge-0");
        agent.members(members(3));
        agent.start();
        clock.run(600);
        assertEquals(4, called.size());
        assertEquals(2, called.stream().distinct().count());
        agent.heard(BalancerHeartbeat.of("edge-1"));
        assertEquals(List.of("edge-1"), agent.alive());
        clock.run(2_100);
        assertEquals(List.of(), agent.alive());
    }
}
