package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/** The whole state for a member that is to be a replica of the view of this epoch. */
public final class InstallStateRequest implements Message {
    /** The epoch. */
    public long epoch;

    /** The state. */
    public Snapshot snapshot;

    /** The upstreams that the candidate knows, departures among them. */
    public List<InstanceRecord> instances = new ArrayList<>();

    /** Creates a message from its parts. */
    public static InstallStateRequest of(
            long epoch, Snapshot snapshot, List<InstanceRecord> instances) {
        InstallStateRequest message = new InstallStateRequest();
        message.epoch = epoch;
        message.snapshot = snapshot;
        message.instances = new ArrayList<>(instances);
        return message;
    }
}
