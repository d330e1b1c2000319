package myrtleladder.controlplane;

import java.util.List;
import myrtleladder.configuration.Compression;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.ConfigurationDocument;
import myrtleladder.configuration.ConfigurationException;
import myrtleladder.protocol.Snapshot;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The latest configuration and drained zones that this node knows to be committed, that is, stored
 * on the disks of all replicas of the view. Generation 0 means that there is no configuration.
 *
 * <p>Confined to the event loop. {@link ConfigurationRequestHandler} and {@link
 * DrainRequestHandler} update the state, one request at a time.
 */
final class CommittedConfiguration {
    private static final Logger LOG = LogManager.getLogger(CommittedConfiguration.class);

    private final Listener listener;
    private final Runnable onUpdated;
    private Snapshot snapshot = new Snapshot();

    /** Is notified of committed configurations. */
    interface Listener {
        /**
         * Called when a configuration is committed; {@code isFirst} is true if there was none
         * before.
         */
        void configurationCommitted(Configuration configuration, boolean isFirst);
    }

    /**
     * Creates an empty configuration; {@code onUpdated} runs after every update, whether or not the
     * content changed.
     */
    CommittedConfiguration(Listener listener, Runnable onUpdated) {
        this.listener = listener;
        this.onUpdated = onUpdated;
    }

    /** Initializes the state from the snapshot of the replica when this node becomes primary. */
    void recover(Snapshot latest) {
        update(latest, false);
    }

    /** Applies the snapshot that results from a committed change. */
    void commit(Snapshot latest) {
        update(latest, snapshot.generation == 0);
    }

    private void update(Snapshot latest, boolean isFirst) {
        snapshot = latest;
        if (!isEmpty()) {
            notifyListener(isFirst);
        }
        onUpdated.run();
    }

    /**
     * A stored document that this version cannot read is kept and distributed as it is, until the
     * operator replaces it: the primary has to serve everything else.
     */
    private void notifyListener(boolean isFirst) {
        Configuration configuration;
        try {
            configuration = document().configuration();
        } catch (ConfigurationException e) {
            LOG.error("cannot read the configuration of generation {}", snapshot.generation, e);
            return;
        }
        listener.configurationCommitted(configuration, isFirst);
    }

    /** Returns whether no configuration has been committed yet. */
    boolean isEmpty() {
        return snapshot.generation == 0;
    }

    /** Returns the generation of the committed configuration, 0 if there is none. */
    long generation() {
        return snapshot.generation;
    }

    /** Returns the names of the drained zones, in ascending order. */
    List<String> drainedZones() {
        return snapshot.drainedZones;
    }

    /**
     * Returns whether the change with this digest is among the recently committed changes that the
     * snapshot records.
     */
    boolean isChangeCommitted(String digest) {
        return snapshot.changeDigests.contains(digest);
    }

    /** Returns the compressed (deflated) document, as it is stored and distributed. */
    byte[] compressedDocument() {
        return snapshot.document;
    }

    /** Returns the uncompressed bytes of the document, as the operator sent them. */
    byte[] documentBytes() {
        return Compression.inflate(snapshot.document);
    }

    /** Returns the parsed document, to which a change can be applied. */
    ConfigurationDocument document() {
        return ConfigurationDocument.fromStored(documentBytes(), snapshot.generation);
    }
}
