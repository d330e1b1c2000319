package myrtleladder.protocol;

/** An incarnation of an upstream as its heartbeats tell it; instances are not changed once made. */
public final class InstanceRecord {
    /**
     * What an instance does; it is lost while its heartbeats stay out, and never comes back from
     * the others.
     */
    public enum Stage {
        READY,
        LOST,
        DRAINING,
        GONE
    }

    /** The incarnation's id. */
    public String id = "";

    /** The service that it belongs to. */
    public String service = "";

    /** Host and port. */
    public String address = "";

    /** Its zone. */
    public String zone = "";

    /** Requests that it works on at once. */
    public int capacity;

    /** The version of its software. */
    public String version = "";

    /** What it does. */
    public Stage stage = Stage.READY;

    /** The number of the heartbeat that told this. */
    public long heartbeatSequence;

    /** The version of the weights is not told. */
    public static final long UNKNOWN_WEIGHTS_VERSION = -1;

    /** The version of the weights of its model. */
    public long weightsVersion = UNKNOWN_WEIGHTS_VERSION;

    /** No ordinal was assigned. */
    public static final int UNASSIGNED_ORDINAL = 0;

    /**
     * The instance's place among those of its service, from 1; a replacement takes over that of the
     * instance it replaces. Assigned by the primary, so heartbeats do not tell it.
     */
    public int ordinal = UNASSIGNED_ORDINAL;

    /** Creates a record from its parts. */
    public static InstanceRecord of(
            String id,
            String service,
            String address,
            String zone,
            int capacity,
            String version,
            Stage stage,
            long heartbeatSequence) {
        InstanceRecord made = new InstanceRecord();
        made.id = id;
        made.service = service;
        made.address = address;
        made.zone = zone;
        made.capacity = capacity;
        made.version = version;
        made.stage = stage;
        made.heartbeatSequence = heartbeatSequence;
        return made;
    }

    /** The departure of an incarnation of which nothing else is known. */
    public static InstanceRecord departed(String id) {
        return of(id, "", "", "", 0, "", Stage.GONE, 0);
    }

    /** The same at another stage. */
    public InstanceRecord withStage(Stage other) {
        InstanceRecord made =
                of(id, service, address, zone, capacity, version, other, heartbeatSequence);
        made.ordinal = ordinal;
        made.weightsVersion = weightsVersion;
        return made;
    }

    /** The same with a version of the weights. */
    public InstanceRecord withWeightsVersion(long told) {
        InstanceRecord made = withStage(stage);
        made.weightsVersion = told;
        return made;
    }

    /** The same with an ordinal. */
    public InstanceRecord withOrdinal(int assigned) {
        if (assigned == ordinal) {
            return this;
        }
        InstanceRecord made = withStage(stage);
        made.ordinal = assigned;
        return made;
    }

    /** Whether this tells something else than another record, its number apart. */
    public boolean differsFrom(InstanceRecord other) {
        return other == null
                || stage != other.stage
                || capacity != other.capacity
                || ordinal != other.ordinal
                || weightsVersion != other.weightsVersion
                || !address.equals(other.address)
                || !service.equals(other.service);
    }

    /** Whether the instance leaves or has left. */
    public boolean isLeaving() {
        return stage == Stage.DRAINING || stage == Stage.GONE;
    }

    /** Which of two records of one incarnation holds: a departure, else the later heartbeat. */
    public static InstanceRecord latest(InstanceRecord a, InstanceRecord b) {
        return laterHeard(a, b).withOrdinal(Math.max(a.ordinal, b.ordinal));
    }

    private static InstanceRecord laterHeard(InstanceRecord a, InstanceRecord b) {
        if (a.isLeaving() != b.isLeaving() || a.isLeaving() && a.stage != b.stage) {
            return a.stage.ordinal() > b.stage.ordinal() ? a : b;
        }
        return a.heartbeatSequence >= b.heartbeatSequence ? a : b;
    }
}
