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
import org.junit.jupiter.api.Test;

/** The assignment of monitors to processes. */
class MonitorRingTest {
    private static final int MONITORS = 2;

    static List<BalancerAddress> members(int count) {
        List<BalancerAddress> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(BalancerAddress.of("edge-" + i, "10.0.0." + i + ":7500"));
        }
        return members;
    }

    private static List<String> monitorsOf(String name, List<BalancerAddress> members) {
        return new MonitorRing(members)
                .monitorsOf(name, MONITORS).stream().map(monitor -> monitor.name).toList();
    }

    @Test
    void eachProcessIsMonitoredByTwoOthersInWhateverOrderTheMembersAreGiven() {
        List<BalancerAddress> members = members(20);
        List<BalancerAddress> shuffled = new ArrayList<>(members);
        Collections.shuffle(shuffled, new Random(3));
        Map<String, Integer> monitoredCount = new HashMap<>();
        for (BalancerAddress member : members) {
            List<String> monitors = monitorsOf(member.name, members);
            assertEquals(monitors, monitorsOf(member.name, shuffled));
            assertEquals(MONITORS, monitors.size());
            assertFalse(monitors.contains(member.name));
            monitors.forEach(monitor -> monitoredCount.merge(monitor, 1, Integer::sum));
        }
        assertTrue(
                monitoredCount.values().stream().allMatch(count -> count == MONITORS),
                monitoredCount.toString());
    }

    @Test
    void fewProcessesMonitorEachOther() {
        assertEquals(1, monitorsOf("edge-0", members(2)).size());
        assertEquals(0, monitorsOf("edge-0", members(1)).size());
    }

    @Test
    void unknownProcessHasNoMonitors() {
        assertEquals(0, monitorsOf("other", members(5)).size());
    }
}
