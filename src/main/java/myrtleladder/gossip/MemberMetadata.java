package myrtleladder.gossip;

import java.util.List;

/**
 * What a member publishes about itself; no decision of this package depends on it.
 *
 * @param zone where it runs; empty if not configured
 * @param build version of the program
 * @param startedMs Unix time of its start in milliseconds, for display
 * @param capabilities names of what the member is able to do
 */
public record MemberMetadata(String zone, String build, long startedMs, List<String> capabilities) {
    /** Publishes nothing. */
    public static final MemberMetadata NONE = new MemberMetadata("", "", 0, List.of());

    /** Characters of one text, so that several updates fit into one datagram. */
    static final int MAX_TEXT_LENGTH = 64;

    /** Capabilities of one member, for the same reason. */
    static final int MAX_CAPABILITIES = 8;

    /**
     * Checks that it fits into a datagram.
     *
     * @throws IllegalArgumentException naming the part that is too long
     */
    public MemberMetadata {
        capabilities = List.copyOf(capabilities);
        require(zone.length() <= MAX_TEXT_LENGTH, "zone");
        require(build.length() <= MAX_TEXT_LENGTH, "build");
        require(
                capabilities.size() <= MAX_CAPABILITIES
                        && capabilities.stream().allMatch(c -> c.length() <= MAX_TEXT_LENGTH),
                "can");
    }

    private static void require(boolean isValid, String part) {
        if (!isValid) {
            throw new IllegalArgumentException(part + " of a member is too long");
        }
    }
}
