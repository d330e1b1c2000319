package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * Sent by a candidate to the members that will be replicas of its view, before the view is
 * accepted.
 *
 * <p>The receiver replaces its replicated state, merges the upstream records and syncs both to its
 * disk, if the epoch is the one it promised. Answered by {@link AcknowledgeResponse}.
 */
public final class InstallStateRequest implements Message {
    /** Epoch of the candidate. */
    public long epoch;

    /** The complete replicated state. */
    public Snapshot snapshot;

    /** Upstream records that the candidate knows, departed ones included. */
    public List<InstanceRecord> instances = new ArrayList<>();

    /** Creates a message with these fields. */
    public static InstallStateRequest of(
            long epoch, Snapshot snapshot, List<InstanceRecord> instances) {
        InstallStateRequest message = new InstallStateRequest();
        message.epoch = epoch;
        message.snapshot = snapshot;
        message.instances = new ArrayList<>(instances);
        return message;
    }
}
