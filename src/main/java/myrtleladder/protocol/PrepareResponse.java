package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The response to a {@link PrepareRequest}. The candidate counts granted ones for a majority and
 * merges the upstream records; one that was not granted tells it the epoch to exceed.
 */
public final class PrepareResponse implements Message {
    /** Whether the epoch was promised or, for a pre-vote, would be. */
    public boolean granted;

    /** The highest epoch that the responding member promised. */
    public long promisedEpoch;

    /** The responding member. */
    public Member member;

    /** The last view that it accepted, null if none. */
    public View acceptedView;

    /** Upstream records that it knows; empty if the epoch was not granted. */
    public List<InstanceRecord> instances = new ArrayList<>();

    /** Creates a message with these fields. */
    public static PrepareResponse of(
            boolean granted,
            long promisedEpoch,
            Member member,
            View acceptedView,
            Collection<InstanceRecord> instances) {
        PrepareResponse message = new PrepareResponse();
        message.granted = granted;
        message.promisedEpoch = promisedEpoch;
        message.member = member;
        message.acceptedView = acceptedView;
        message.instances = new ArrayList<>(instances);
        return message;
    }
}
