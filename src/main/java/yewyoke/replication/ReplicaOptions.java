package yewyoke.replication;

import java.util.List;
import yewyoke.message.Member;

/**
 * What a replica is told at its start. {@code self} has an empty store if the disk tells which;
 * {@code tolerated} is the number of members that may be lost at one time; {@code seeds} are
 * addresses.
 */
public record ReplicaOptions(Member self, int tolerated, boolean bootstrap, List<Member> seeds) {
    /** The number of copies that an acknowledged change has. */
    public int copies() {
        return tolerated + 1;
    }
}
