package myrtleladder.controlplane;

import myrtleladder.configuration.Compression;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.ConfigurationDocument;
import myrtleladder.protocol.Snapshot;

/**
 * The configuration that is committed as far as this node knows: all replicas of the view have it
 * on their disks. Generation 0 stands for none.
 *
 * <p>Confined to the event loop. {@link ConfigurationRequestHandler} alone updates it.
 */
final class CommittedConfiguration {
    private final Listener listener;
    private Snapshot snapshot = new Snapshot();

    /** Is notified of configurations that are committed. */
    interface Listener {
        /** A configuration is committed; {@code isFirst} says that none was before. */
        void configurationCommitted(Configuration configuration, boolean isFirst);
    }

    CommittedConfiguration(Listener listener) {
        this.listener = listener;
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
    }

    /** Whether no configuration was ever committed. */
    boolean isEmpty() {
        return snapshot.generation == 0;
    }

    /** The number of the committed configuration, 0 for none. */
    long generation() {
        return snapshot.generation;
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
        return ConfigurationDocument.stored(documentBytes(), snapshot.generation);
    }
}
