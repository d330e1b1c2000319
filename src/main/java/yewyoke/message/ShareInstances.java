package yewyoke.message;

import java.util.ArrayList;
import java.util.List;

/** The primary gives the other control nodes what it has heard of upstreams. */
public final class ShareInstances implements Message {
    /** The epoch of the primary. */
    public long epoch;

    /** The records. */
    public List<InstanceRecord> instances = new ArrayList<>();

    /** Creates a message from its parts. */
    public static ShareInstances of(long epoch, List<InstanceRecord> instances) {
        ShareInstances message = new ShareInstances();
        message.epoch = epoch;
        message.instances = new ArrayList<>(instances);
        return message;
    }
}
