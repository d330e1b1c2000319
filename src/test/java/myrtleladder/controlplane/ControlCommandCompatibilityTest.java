package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The verbs, options and exit codes of the control plane's command line. Start scripts and
 * operators depend on them: 0 for success, 1 for a failure with an error code, 2 for an invalid
 * command line.
 */
class ControlCommandCompatibilityTest {
    private static final String RESOURCES = "src/test/resources/compatibility/";

    @TempDir Path folder;

    private static int run(String... arguments) {
        return ControlCommand.run(arguments);
    }

    @Test
    void checkOfAGoodFileEndsWithZero() {
        assertEquals(0, run("check", RESOURCES + "settings/control.toml"));
    }

    @Test
    void checkOfABadFileEndsWithOne() {
        assertEquals(1, run("check", RESOURCES + "settings/bad.toml"));
    }

    @Test
    void checkOfAMissingFileEndsWithOne() {
        assertEquals(1, run("check", folder.resolve("missing").toString()));
    }

    @Test
    void storeOfAFolderWithStateEndsWithZero() {
        assertEquals(0, run("store", RESOURCES + "state/core-1"));
    }

    @Test
    void storeOfAnEmptyFolderEndsWithOne() {
        assertEquals(1, run("store", folder.toString()));
    }

    @Test
    void storeWithoutAFolderEndsWithOne() {
        assertEquals(1, run("store"));
    }

    @Test
    void helpEndsWithZero() {
        assertEquals(0, run("--help"));
    }

    @Test
    void anUnknownVerbEndsWithTwo() {
        assertEquals(2, run("no-such-verb"));
    }

    @Test
    void anUnknownOptionEndsWithTwo() {
        assertEquals(2, run("--no-such-option"));
    }

    @Test
    void aMissingVerbEndsWithTwo() {
        assertEquals(2, run());
    }
}
