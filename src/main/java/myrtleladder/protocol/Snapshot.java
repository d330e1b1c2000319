package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/** The replicated state: the configuration and the digests of the change requests that made it. */
public final class Snapshot {
    /**
     * Number of remembered digests, by which change requests that arrive again are recognized.
     * Chosen.
     */
    public static final int MAX_CHANGE_DIGESTS = 2_000;

    /** The configuration as compressed JSON, empty before the first. */
    public byte[] document = {};

    /** The operator's number of the configuration. */
    public long generation;

    /** Digests of the last change requests, the oldest first. */
    public List<String> changeDigests = new ArrayList<>();

    /** Creates a snapshot from its parts. */
    public static Snapshot of(byte[] document, long generation, List<String> changeDigests) {
        Snapshot snapshot = new Snapshot();
        snapshot.document = document;
        snapshot.generation = generation;
        snapshot.changeDigests = changeDigests;
        return snapshot;
    }

    /** The state after another order. */
    public Snapshot withChange(byte[] nextDocument, long nextGeneration, String changeDigest) {
        List<String> next = new ArrayList<>(changeDigests);
        next.add(changeDigest);
        int forgotten = Math.max(0, next.size() - MAX_CHANGE_DIGESTS);
        return of(nextDocument, nextGeneration, next.subList(forgotten, next.size()));
    }
}
