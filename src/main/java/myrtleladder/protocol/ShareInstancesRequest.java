package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * Sent by the primary to the other control nodes, to hand on what upstreams reported of themselves.
 *
 * <p>The receiver merges the records, or rejects them if it knows a higher epoch. Answered by
 * {@link AcknowledgeResponse}.
 */
public final class ShareInstancesRequest implements Message {
    /** Epoch of the primary. */
    public long epoch;

    /** Upstream records that are new or changed. */
    public List<InstanceRecord> instances = new ArrayList<>();

    /** Whether the response has to wait until the records are synced to the disk. */
    public boolean syncRequired;

    /** Creates a message with these fields. */
    public static ShareInstancesRequest of(
            long epoch, List<InstanceRecord> instances, boolean syncRequired) {
        ShareInstancesRequest message = new ShareInstancesRequest();
        message.syncRequired = syncRequired;
        message.epoch = epoch;
        message.instances = new ArrayList<>(instances);
        return message;
    }
}
