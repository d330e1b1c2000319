package yewyoke.message;

/** An incarnation of an upstream as its heartbeats tell it; instances are not changed once made. */
public final class InstanceRecord {
    /** What an instance does. */
    public enum Stage { READY, DRAINING, GONE }

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
    public long sequence;

    /** Creates a record from its parts. */
    public static InstanceRecord of(String id, String service, String address, String zone, int capacity,
            String version, Stage stage, long sequence) {
        InstanceRecord made = new InstanceRecord();
        made.id = id;
        made.service = service;
        made.address = address;
        made.zone = zone;
        made.capacity = capacity;
        made.version = version;
        made.stage = stage;
        made.sequence = sequence;
        return made;
    }

    /** The same at another stage. */
    public InstanceRecord at(Stage other) {
        return of(id, service, address, zone, capacity, version, other, sequence);
    }

    /** Whether this tells something else than another record, its number apart. */
    public boolean differsFrom(InstanceRecord other) {
        return other == null || stage != other.stage || capacity != other.capacity
                || !address.equals(other.address) || !service.equals(other.service);
    }

    /** Which of two records of one incarnation holds: the later stage, then the later heartbeat. */
    public static InstanceRecord later(InstanceRecord a, InstanceRecord b) {
        if (a.stage != b.stage) {
            return a.stage.ordinal() > b.stage.ordinal() ? a : b;
        }
        return a.sequence >= b.sequence ? a : b;
    }
}
