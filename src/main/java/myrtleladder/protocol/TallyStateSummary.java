package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/** What a control node tells of itself and of the additions to tallies that it has. */
public final class TallyStateSummary {
    /** Host and port of the internal protocol. */
    public String address = "";

    /** Name of its zone. */
    public String zone = "";

    /** Identity of the process, drawn at its start; what it said before that start is void. */
    public String process = "";

    /** The additions in memory, as a version vector or a part of one. */
    public List<TallyPosition> known = new ArrayList<>();

    /** The positions up to which additions are on the disk, where that is behind {@link #known}. */
    public List<TallyPosition> durable = new ArrayList<>();

    /** Whether the process serves: it has all that it could learn of after its start. */
    public boolean caughtUp;

    /** Creates a summary from its parts. */
    public static TallyStateSummary of(
            String address,
            String zone,
            String process,
            List<TallyPosition> known,
            List<TallyPosition> durable,
            boolean caughtUp) {
        TallyStateSummary summary = new TallyStateSummary();
        summary.address = address;
        summary.zone = zone;
        summary.process = process;
        summary.known = known;
        summary.durable = durable;
        summary.caughtUp = caughtUp;
        return summary;
    }
}
