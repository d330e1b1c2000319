package myrtleladder.protocol;

/**
 * The state of one incarnation of an upstream, as its heartbeats report it. Instances are not
 * changed once created; the {@code with...} methods return copies.
 */
public final class InstanceRecord {
    /**
     * Lifecycle of an instance. Written by ordinal, so the order of the constants is part of the
     * protocol.
     */
    public enum Stage {
        /** Takes requests. */
        READY,
        /** Its heartbeats timed out; ready again with the next one. */
        LOST,
        /** Takes no new requests; never ready again. */
        DRAINING,
        /** Has departed; never comes back. */
        GONE
    }

    /** Id of the incarnation. */
    public String id = "";

    /** Name of the service that it belongs to. */
    public String service = "";

    /** Host and port. */
    public String address = "";

    /** Name of its zone. */
    public String zone = "";

    /** Number of requests that it processes at once. */
    public int capacity;

    /** Version of its software. */
    public String version = "";

    /** Lifecycle stage. */
    public Stage stage = Stage.READY;

    /** Sequence number of the heartbeat that reported this state. */
    public long heartbeatSequence;

    /** Value of {@link #weightsVersion} if the upstream does not report one. */
    public static final long UNKNOWN_WEIGHTS_VERSION = -1;

    /** Version of the weights of its model. */
    public long weightsVersion = UNKNOWN_WEIGHTS_VERSION;

    /** Value of {@link #ordinal} as long as none is assigned. */
    public static final int UNASSIGNED_ORDINAL = 0;

    /**
     * The instance's place among those of its service, from 1; a replacement takes over that of the
     * instance it replaces. Assigned by the primary, so heartbeats do not report it.
     */
    public int ordinal = UNASSIGNED_ORDINAL;

    /**
     * How much longer the instance stays cold, in milliseconds from when the record is sent; null
     * if it is not cold. Null is not written, so a record without it is the same as before this
     * field.
     */
    private Long warmupLeftMs;

    /** Creates a record without ordinal, version of weights and warm-up. */
    public static InstanceRecord of(
            String id,
            String service,
            String address,
            String zone,
            int capacity,
            String version,
            Stage stage,
            long heartbeatSequence) {
        InstanceRecord record = new InstanceRecord();
        record.id = id;
        record.service = service;
        record.address = address;
        record.zone = zone;
        record.capacity = capacity;
        record.version = version;
        record.stage = stage;
        record.heartbeatSequence = heartbeatSequence;
        return record;
    }

    /** Returns a record of a departed incarnation of which only the id is known. */
    public static InstanceRecord departed(String id) {
        return of(id, "", "", "", 0, "", Stage.GONE, 0);
    }

    /** Returns a copy at another stage. */
    public InstanceRecord withStage(Stage newStage) {
        InstanceRecord copy =
                of(id, service, address, zone, capacity, version, newStage, heartbeatSequence);
        copy.ordinal = ordinal;
        copy.weightsVersion = weightsVersion;
        copy.warmupLeftMs = warmupLeftMs;
        return copy;
    }

    /** Returns how much longer the instance stays cold, in milliseconds; 0 if it is not cold. */
    public long warmupLeftMs() {
        return warmupLeftMs == null ? 0 : warmupLeftMs;
    }

    /** Returns this record with another remaining warm-up, in milliseconds; 0 or less for none. */
    public InstanceRecord withWarmupLeftMs(long leftMs) {
        long left = Math.max(0, leftMs);
        if (left == warmupLeftMs()) {
            return this;
        }
        InstanceRecord copy = withStage(stage);
        copy.warmupLeftMs = left == 0 ? null : Long.valueOf(left);
        return copy;
    }

    /** Returns a copy with a version of the weights. */
    public InstanceRecord withWeightsVersion(long newVersion) {
        InstanceRecord copy = withStage(stage);
        copy.weightsVersion = newVersion;
        return copy;
    }

    /** Returns this record with an ordinal. */
    public InstanceRecord withOrdinal(int assigned) {
        if (assigned == ordinal) {
            return this;
        }
        InstanceRecord copy = withStage(stage);
        copy.ordinal = assigned;
        return copy;
    }

    /**
     * Returns whether something that balancers use differs from another record, which may be null;
     * sequence number and remaining warm-up, which change all the time, are not compared.
     */
    public boolean differsFrom(InstanceRecord other) {
        return other == null
                || stage != other.stage
                || capacity != other.capacity
                || ordinal != other.ordinal
                || weightsVersion != other.weightsVersion
                || !address.equals(other.address)
                || !service.equals(other.service);
    }

    /** Returns whether the instance is draining or gone. */
    public boolean isLeaving() {
        return stage == Stage.DRAINING || stage == Stage.GONE;
    }

    /**
     * Merges two records of one incarnation: the one further in its departure wins, else the one
     * with the later heartbeat. The higher ordinal is kept.
     */
    public static InstanceRecord latest(InstanceRecord a, InstanceRecord b) {
        return latestReported(a, b).withOrdinal(Math.max(a.ordinal, b.ordinal));
    }

    private static InstanceRecord latestReported(InstanceRecord a, InstanceRecord b) {
        if (a.isLeaving() != b.isLeaving() || (a.isLeaving() && a.stage != b.stage)) {
            return a.stage.ordinal() > b.stage.ordinal() ? a : b;
        }
        return a.heartbeatSequence >= b.heartbeatSequence ? a : b;
    }
}
