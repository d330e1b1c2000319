package myrtleladder.gossip;

import java.util.List;

/**
 * What a member says of itself.
 *
 * @param build version of the program
 * @param startedMs Unix time of its start, for people: nothing is decided by it
 * @param can what it is able to do, as names
 */
public record Meta(String zone, String build, long startedMs, List<String> can) {
    /** Nothing said. */
    public static final Meta NONE = new Meta("", "", 0, List.of());

    /** A word of it may have so many characters, and so many words it may be able to do. */
    static final int LONGEST = 64;

    static final int MOST = 8;

    /** Refuses what would not fit into messages, by name. */
    public Meta {
        can = List.copyOf(can);
        require(zone.length() <= LONGEST, "zone");
        require(build.length() <= LONGEST, "build");
        require(can.size() <= MOST && can.stream().allMatch(c -> c.length() <= LONGEST), "can");
    }

    private static void require(boolean good, String name) {
        if (!good) {
            throw new IllegalArgumentException(name + " of a member is too long");
        }
    }
}
