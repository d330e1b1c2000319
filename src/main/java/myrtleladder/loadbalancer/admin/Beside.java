package myrtleladder.loadbalancer.admin;

import java.util.List;
import java.util.Set;
import myrtleladder.cluster.Balancing;
import myrtleladder.cluster.WorkCarrier;
import myrtleladder.loadbalancer.server.RunningBalancer;
import myrtleladder.loadbalancer.server.TrafficControl;

/** The balancer as the work on machines knows it: neither knows of the other. */
record Beside(TrafficControl sending) implements Balancing {
    /** From now on the work on machines has a say on each attempt. */
    static void restrain(RunningBalancer balancer, WorkCarrier work) {
        balancer.loop()
                .execute(
                        () ->
                                balancer.sending()
                                        .restrain(
                                                new TrafficControl.AttemptAdmission() {
                                                    @Override
                                                    public boolean maySend(String upstream) {
                                                        return work.maySend(upstream);
                                                    }

                                                    @Override
                                                    public void ended(
                                                            String upstream,
                                                            boolean served,
                                                            long took) {
                                                        work.ended(upstream, served, took);
                                                    }
                                                }));
    }

    @Override
    public int inFlight(String upstream) {
        return sending.inFlight(upstream);
    }

    @Override
    public void setAside(Set<String> away, Set<String> cold) {
        sending.setAside(away, cold);
    }

    @Override
    public List<Upstream> listed() {
        return sending.listed().stream()
                .map(u -> new Upstream(u.id(), u.zone(), u.kind(), u.cell(), u.ready()))
                .toList();
    }
}
