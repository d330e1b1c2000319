package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Settings that are out of range are rejected. */
class SettingsCheckTest {
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void badSettingsAreRejectedWithTheirNameInTheFile() {
        settings.zones(0);
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> SimulatedHost.of(settings));
        assertTrue(e.getMessage().contains("localities"));
        settings.zones(1);
        settings.groupSize(0);
        e = assertThrows(IllegalArgumentException.class, () -> SimulatedHost.of(settings));
        assertTrue(e.getMessage().contains("group-size"));
    }
}
