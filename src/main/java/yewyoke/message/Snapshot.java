package yewyoke.message;

import java.util.ArrayList;
import java.util.List;

/** The replicated state: the operator's document and the orders that were taken. */
public final class Snapshot {
    /** The document as compressed JSON, empty before the first. */
    public byte[] document = {};

    /** The operator's number of the document. */
    public long generation;

    /** Digests of the orders taken, the oldest first. */
    public List<String> orders = new ArrayList<>();

    /** Creates a snapshot from its parts. */
    public static Snapshot of(byte[] document, long generation, List<String> orders) {
        Snapshot snapshot = new Snapshot();
        snapshot.document = document;
        snapshot.generation = generation;
        snapshot.orders = orders;
        return snapshot;
    }
}
