package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * The replicated state: the configuration, the digests of the change requests that made it, and the
 * drained zones.
 */
public final class Snapshot {
    /** Number of remembered digests, by which change requests that arrive again are recognized. */
    public static final int MAX_CHANGE_DIGESTS = 2_000;

    /** The configuration as compressed JSON, empty before the first. */
    public byte[] document = {};

    /** The operator's number of the configuration. */
    public long generation;

    /** Digests of the last change requests, the oldest first. */
    public List<String> changeDigests = new ArrayList<>();

    /** Names of the zones that an operator has drained, in ascending order. */
    public List<String> drainedZones = new ArrayList<>();

    /** Creates a snapshot without drained zones. */
    public static Snapshot of(byte[] document, long generation, List<String> changeDigests) {
        Snapshot snapshot = new Snapshot();
        snapshot.document = document;
        snapshot.generation = generation;
        snapshot.changeDigests = changeDigests;
        return snapshot;
    }

    /** The state after another change of the configuration. */
    public Snapshot withChange(byte[] nextDocument, long nextGeneration, String changeDigest) {
        List<String> next = new ArrayList<>(changeDigests);
        next.add(changeDigest);
        int forgotten = Math.max(0, next.size() - MAX_CHANGE_DIGESTS);
        return of(nextDocument, nextGeneration, next.subList(forgotten, next.size()))
                .withDrainedZones(drainedZones);
    }

    /** The state with other drained zones, in ascending order. */
    public Snapshot withDrainedZones(List<String> next) {
        Snapshot snapshot = of(document, generation, changeDigests);
        snapshot.drainedZones = next;
        return snapshot;
    }
}
