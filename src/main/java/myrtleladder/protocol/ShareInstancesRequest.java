package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/** The primary gives the other control nodes what it has heard of upstreams. */
public final class ShareInstancesRequest implements Message {
    /** The epoch of the primary. */
    public long epoch;

    /** The records. */
    public List<InstanceRecord> instances = new ArrayList<>();

    /** Whether the answer has to wait until the records are on the disk. */
    public boolean syncRequired;

    /** Creates a message from its parts. */
    public static ShareInstancesRequest of(
            long epoch, List<InstanceRecord> instances, boolean syncRequired) {
        ShareInstancesRequest message = new ShareInstancesRequest();
        message.syncRequired = syncRequired;
        message.epoch = epoch;
        message.instances = new ArrayList<>(instances);
        return message;
    }
}
