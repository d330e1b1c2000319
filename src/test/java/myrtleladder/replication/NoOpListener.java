package myrtleladder.replication;

import java.util.Collection;
import myrtleladder.protocol.InstanceRecord;

/** For tests that do not observe the role. */
final class NoOpListener implements Replica.Listener {
    @Override
    public void onPrimacyGained(Collection<InstanceRecord> instances) {
        // not of interest
    }

    @Override
    public void onPrimacyLost() {
        // not of interest
    }

    @Override
    public void onInstancesReceived(Collection<InstanceRecord> instances) {
        // not of interest
    }
}
