package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Subcommands and exit codes of the data plane's command line, on which start scripts and operators
 * depend: 0 success, 1 failure with a result code, 2 usage error.
 */
class DataCommandCompatibilityTest {
    private static final String SETTINGS = "src/test/resources/compatibility/settings/";

    private static int run(String... arguments) {
        return DataCommand.run(arguments);
    }

    @Test
    void checkOfAValidFileExitsWithZero() {
        assertEquals(0, run("check", SETTINGS + "data.toml"));
    }

    @Test
    void checkOfAnInvalidFileExitsWithOne() {
        assertEquals(1, run("check", SETTINGS + "bad.toml"));
    }

    @Test
    void checkOfAMissingFileExitsWithOne() {
        assertEquals(1, run("check", SETTINGS + "missing.toml"));
    }

    @Test
    void helpExitsWithZero() {
        assertEquals(0, run("--help"));
    }

    @Test
    void unknownSubcommandExitsWithTwo() {
        assertEquals(2, run("no-such-verb"));
    }

    @Test
    void unknownOptionExitsWithTwo() {
        assertEquals(2, run("--no-such-option"));
    }

    @Test
    void missingSubcommandExitsWithTwo() {
        assertEquals(2, run());
    }
}
