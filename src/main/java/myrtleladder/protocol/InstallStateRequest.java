package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * Sent by a candidate to the members that will be replicas of its view, before the view is
 * accepted.
 *
 * <p>The receiver replaces its replicated state, merges the upstream records and syncs both to its
 * disk, if it promised the epoch to this candidate and has not accepted the view of that epoch.
 * Answered by {@link AcknowledgeResponse}.
 */
public final class InstallStateRequest implements Message {
    /** Epoch of the candidate. */
    public long epoch;

    /** The complete replicated state. */
    public Snapshot snapshot;

    /** Upstream records that the candidate knows, departed ones included. */
    public List<InstanceRecord> instances = new ArrayList<>();

    /** The sending candidate, null if it runs a version that did not send it. */
    public Member candidate;

    /** Creates a message with these fields. */
    public static InstallStateRequest of(
            long epoch, Member candidate, Snapshot snapshot, List<InstanceRecord> instances) {
        InstallStateRequest message = new InstallStateRequest();
        message.epoch = epoch;
        message.snapshot = snapshot;
        message.instances = new ArrayList<>(instances);
        message.candidate = candidate;
        return message;
    }
}
