package myrtleladder.replication;

import java.util.List;
import myrtleladder.protocol.Member;

/**
 * What a replica is told at its start. {@code self} has an empty store if the disk tells which;
 * {@code tolerated} is the number of members that may be lost at one time; {@code seeds} are
 * addresses; a machine that has been back for {@code catchUpMs} has to count as a member again.
 */
public record ReplicaOptions(
        Member self, int tolerated, boolean bootstrap, List<Member> seeds, long catchUpMs) {
    private static final double SILENT_PART = 0.375;
    private static final long LEAST_SILENT = 800;
    private static final long MOST_SILENT = 3_000;

    /** The number of copies that an acknowledged change has. */
    public int copies() {
        return tolerated + 1;
    }

    /** The fewest members with whose majority the tolerated losses can be borne. */
    public int leastGroup() {
        return 2 * tolerated + 1;
    }

    /** After which silence a member may be left out of the group, well inside the catch-up time. */
    public long memberSilentMs() {
        long part = Math.round(catchUpMs * SILENT_PART);
        return Math.max(LEAST_SILENT, Math.min(MOST_SILENT, part));
    }
}
