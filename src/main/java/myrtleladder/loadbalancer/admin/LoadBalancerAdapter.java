package myrtleladder.loadbalancer.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import myrtleladder.cluster.LoadBalancerControl;
import myrtleladder.cluster.MaintenanceRuntime;
import myrtleladder.loadbalancer.server.RunningBalancer;
import myrtleladder.loadbalancer.server.TrafficControl;

/**
 * Connects the load balancer with the maintenance of machines, so that neither package depends on
 * the other. All methods but {@link #admitAttemptsBy} are called on the event loop.
 */
record LoadBalancerAdapter(TrafficControl trafficControl) implements LoadBalancerControl {

    /** From now on maintenance admits each attempt and learns how it ended. */
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
        for (TrafficControl.ListedEndpoint e : trafficControl.listedEndpoints()) {
            upstreams.add(new Upstream(e.id(), e.zone(), e.kind(), e.cell(), e.isReady()));
        }
        return upstreams;
    }
}
