package myrtleladder.controlplane;

import java.util.List;
import myrtleladder.configuration.Compression;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.ConfigurationDocument;
import myrtleladder.protocol.Snapshot;

/**
 * The configuration and the drained zones that are committed as far as this node knows: all
 * replicas of the view have them on their disks. Generation 0 stands for no configuration.
 *
 * <p>Confined to the event loop. {@link ConfigurationRequestHandler} and {@link
 * DrainRequestHandler} update it, one request at a time.
 */
final class CommittedConfiguration {
    private final Listener listener;
    private final Runnable onUpdated;
    private Snapshot snapshot = new Snapshot();

    /** Is notified of configurations that are committed. */
    interface Listener {
        /** A configuration is committed; {@code isFirst} says that none was before. */
        void configurationCommitted(Configuration configuration, boolean isFirst);
    }

    /** Creates an empty one; {@code onUpdated} runs after each update, whatever it changed. */
    CommittedConfiguration(Listener listener, Runnable onUpdated) {
        this.listener = listener;
        this.onUpdated = onUpdated;
    }

    /** Takes over what the replica of a new primary has. */
    void recover(Snapshot latest) {
        update(latest, false);
    }

    /** Goes on to the state that a change led to. */
    void commit(Snapshot latest) {
        update(latest, snapshot.generation == 0);
    }

    private void update(Snapshot latest, boolean isFirst) {
        snapshot = latest;
        if (!isEmpty()) {
            listener.configurationCommitted(document().configuration(), isFirst);
        }
        onUpdated.run();
    }

    /** Whether no configuration was ever committed. */
    boolean isEmpty() {
        return snapshot.generation == 0;
    }

    /** The number of the committed configuration, 0 for none. */
    long generation() {
        return snapshot.generation;
    }

    /** The names of the drained zones, in ascending order. */
    List<String> drainedZones() {
        return snapshot.drainedZones;
    }

    /** Whether the change with this digest is among those that are remembered as committed. */
    boolean includesChange(String digest) {
        return snapshot.changeDigests.contains(digest);
    }

    /** The document as it is stored and distributed: deflated. */
    byte[] compressedDocument() {
        return snapshot.document;
    }

    /** The document as the operator sent it. */
    byte[] documentBytes() {
        return Compression.inflate(snapshot.document);
    }

    /** The document, ready to be changed. */
    ConfigurationDocument document() {
        return ConfigurationDocument.fromStored(documentBytes(), snapshot.generation);
    }
}
