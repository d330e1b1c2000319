package myrtleladder.result;

/**
 * Numbered results of the fleet's programs. Operators look the number up in docs/errors.md, which
 * has a row for each; numbers and names never change.
 */
public enum ResultCode {
    /** The settings file can't be found or read. */
    NO_SETTINGS(100),
    /** The settings file is not TOML. */
    SETTINGS_SYNTAX(101),
    /** A setting is missing or out of range. */
    SETTINGS_VALUE(102),
    /** The command line has an unknown or misplaced word. */
    USAGE(103),
    /** A socket can't be opened. */
    NO_SOCKET(110),
    /** A connection to a peer takes no request. */
    PEER_FAILED(111),
    /** A message of the internal protocol can't be read. */
    BAD_MESSAGE(112),
    /** The document is not JSON of the expected form. */
    CONFIGURATION_SYNTAX(200),
    /** A field is missing or has the wrong type. */
    CONFIGURATION_FIELD(201),
    /** The generation is not above the current one. */
    OLD_GENERATION(202),
    /** A route names a service that does not exist. */
    UNKNOWN_SERVICE(203),
    /** Two routes share host name and prefix. */
    SAME_PLACE(204),
    /** The weights of a route add up to 0. */
    NO_WEIGHT(205),
    /** A route has no time-out above 0. */
    NO_TIMEOUT(206),
    /** Two tenants share a key. */
    SHARED_KEY(207),
    /** Another version is current. */
    STALE_MATCH(208),
    /** The state can't be written to the disk. */
    DISK_WRITE(300),
    /** A stored generation is torn or damaged. */
    DISK_DAMAGED(301),
    /** The stored format is not known to this program. */
    DISK_FORMAT(302);

    private final int number;

    ResultCode(int number) {
        this.number = number;
    }

    /** Returns the code as it begins a message, such as {@code E102 SETTINGS_VALUE}. */
    public String label() {
        return "E" + number + " " + name();
    }

    /** Returns the number by which operators look the result up. */
    public int number() {
        return number;
    }
}
