package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/** The answer to a {@link PrepareRequest}. */
public final class PrepareResponse implements Message {
    /** Whether the promise is given. */
    public boolean granted;

    /** The highest epoch promised so far. */
    public long promisedEpoch;

    /** Who answers. */
    public Member member;

    /** The last view accepted, null if none. */
    public View acceptedView;

    /** The upstreams that the member has heard of. */
    public List<InstanceRecord> instances = new ArrayList<>();
}
