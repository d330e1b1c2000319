package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/** The response to {@link TallySyncRequest}. */
public final class TallySyncResponse implements Message {
    /** What the responding node has now. */
    public TallyStateSummary sender = new TallyStateSummary();

    /** Additions that the requesting node lacks, those of a replica in their order. */
    public List<TallyAddition> additions = new ArrayList<>();

    /** Creates a response from its parts. */
    public static TallySyncResponse of(TallyStateSummary sender, List<TallyAddition> additions) {
        TallySyncResponse message = new TallySyncResponse();
        message.sender = sender;
        message.additions = additions;
        return message;
    }
}
