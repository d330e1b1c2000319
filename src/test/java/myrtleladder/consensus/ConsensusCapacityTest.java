package myrtleladder.consensus;

import static myrtleladder.gossip.SimulatedGossipCluster.names;
import static org.junit.jupiter.api.Assertions.assertTrue;

import myrtleladder.loadbalancer.policy.CapacityMeasurements;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * What consensus costs each member of a fleet with five voters, in hollow processes and virtual
 * time.
 */
@Tag("long")
class ConsensusCapacityTest {
    private static final int[] MEMBERS = {10, 20, 40, 60};
    private static final int VOTERS = 5;
    private static final int SETTLING_S = 60;
    private static final int MEASURED_S = 10;

    private static SimulatedConsensusCluster settled(int members) {
        ConsensusSettings settings = ConsensusSettings.of("dhaka", names(VOTERS));
        SimulatedConsensusCluster fleet = new SimulatedConsensusCluster(1, settings).with(members);
        fleet.nodes.values().forEach(n -> n.working = false);
        fleet.run(SETTLING_S * SimulatedConsensusCluster.SECOND);
        return fleet;
    }

    @Test
    void messages() {
        CapacityMeasurements messages =
                new CapacityMeasurements("consensus, messages of all", "a second");
        CapacityMeasurements bytes =
                new CapacityMeasurements("consensus, bytes of all", "KB a second");
        CapacityMeasurements heap =
                new CapacityMeasurements("consensus and membership, heap of all", "KB");
        CapacityMeasurements time =
                new CapacityMeasurements(
                        "consensus and membership, processor time of all", "ms a second");
        settled(MEMBERS[0]); // loads its classes
        for (int members : MEMBERS) {
            SimulatedConsensusCluster[] fleet = new SimulatedConsensusCluster[1];
            heap.add(
                    members,
                    CapacityMeasurements.retainedHeapBytes(
                                    () -> {
                                        fleet[0] = settled(members);
                                        return fleet[0];
                                    })
                            / 1_024.0);
            long sent = fleet[0].datagrams;
            long size = fleet[0].bytes;
            long begun = System.nanoTime();
            fleet[0].run(MEASURED_S * SimulatedConsensusCluster.SECOND);
            time.add(members, (System.nanoTime() - begun) / 1e6 / MEASURED_S);
            messages.add(members, (fleet[0].datagrams - sent) / (double) MEASURED_S);
            bytes.add(members, (fleet[0].bytes - size) / 1_024.0 / MEASURED_S);
        }
        messages.print();
        bytes.print();
        heap.print();
        time.print();
        assertTrue(
                messages.slope() < 200, "messages a second for each member: " + messages.slope());
    }
}
