package myrtleladder.loadbalancer.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import myrtleladder.cluster.LoadBalancerControl;
import myrtleladder.cluster.MaintenanceRuntime;
import myrtleladder.loadbalancer.server.RunningBalancer;
import myrtleladder.loadbalancer.server.TrafficControl;

/**
 * Connects the load balancer to machine maintenance, so that neither package depends on the other.
 * All methods but {@link #admitAttemptsBy} are called on the event loop.
 */
record LoadBalancerAdapter(TrafficControl trafficControl) implements LoadBalancerControl {

    /**
     * Makes the load balancer ask maintenance before each attempt and report its outcome. Takes
     * effect asynchronously; may be called on any thread.
     */
    static void admitAttemptsBy(MaintenanceRuntime maintenance, RunningBalancer balancer) {
        MaintenanceAdmission admission = new MaintenanceAdmission(maintenance);
        balancer.loop().execute(() -> balancer.trafficControl().setAdmission(admission));
    }

    private record MaintenanceAdmission(MaintenanceRuntime maintenance)
            implements TrafficControl.AttemptAdmission {
        @Override
        public boolean canSend(String upstream) {
            return maintenance.maySend(upstream);
        }

        @Override
        public void attemptEnded(String upstream, boolean isServed, long tookUs) {
            maintenance.onAttemptEnded(upstream, isServed, tookUs);
        }
    }

    @Override
    public int inFlight(String upstream) {
        return trafficControl.attemptsInFlight(upstream);
    }

    @Override
    public void excludeUpstreams(Set<String> excluded, Set<String> returned) {
        trafficControl.setDraining(excluded, returned);
    }

    @Override
    public List<Upstream> upstreams() {
        List<Upstream> upstreams = new ArrayList<>();
        for (TrafficControl.ListedEndpoint endpoint : trafficControl.listedEndpoints()) {
            upstreams.add(
                    new Upstream(
                            endpoint.id(),
                            endpoint.zone(),
                            endpoint.kind(),
                            endpoint.cell(),
                            endpoint.isReady()));
        }
        return upstreams;
    }
}
