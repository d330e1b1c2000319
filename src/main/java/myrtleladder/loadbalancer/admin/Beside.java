package myrtleladder.loadbalancer.admin;

import java.util.List;
import java.util.Set;
import myrtleladder.cluster.LoadBalancerControl;
import myrtleladder.cluster.MaintenanceRuntime;
import myrtleladder.loadbalancer.server.RunningBalancer;
import myrtleladder.loadbalancer.server.TrafficControl;

/** The balancer as the work on machines knows it: neither knows of the other. */
record Beside(TrafficControl trafficControl) implements LoadBalancerControl {
    /** From now on the work on machines has a say on each attempt. */
    static void restrain(RunningBalancer balancer, MaintenanceRuntime work) {
        balancer.loop()
                .execute(
                        () ->
                                balancer.trafficControl()
                                        .setAdmission(
                                                new TrafficControl.AttemptAdmission() {
                                                    @Override
                                                    public boolean canSend(String upstream) {
                                                        return work.maySend(upstream);
                                                    }

                                                    @Override
                                                    public void attemptEnded(
                                                            String upstream,
                                                            boolean isServed,
                                                            long tookUs) {
                                                        work.ended(upstream, isServed, tookUs);
                                                    }
                                                }));
    }

    @Override
    public int inFlight(String upstream) {
        return trafficControl.attemptsInFlight(upstream);
    }

    @Override
    public void setAside(Set<String> away, Set<String> cold) {
        trafficControl.setDraining(away, cold);
    }

    @Override
    public List<Upstream> listed() {
        return trafficControl.listedEndpoints().stream()
                .map(u -> new Upstream(u.id(), u.zone(), u.kind(), u.cell(), u.isReady()))
                .toList();
    }
}
