package myrtleladder.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The settings file of control plane and data plane, against golden files with every key. The
 * platform writes these files; so the names, units and defaults of the keys and the variable that
 * names the file may not change.
 */
class NodeSettingsCompatibilityTest {
    private static NodeSettings read(String file) {
        return NodeSettings.read(Path.of("src/test/resources/compatibility/settings", file));
    }

    @Test
    void theVariableThatNamesTheFileKeepsItsName() {
        assertEquals("MYRTLELADDER_CONFIG", NodeSettings.VARIABLE);
    }

    @Test
    void eachKeyOfTheNodeIsRead() {
        NodeSettings settings = read("control.toml");
        assertEquals("core-1", settings.nodeName());
        assertEquals("control", settings.role());
        assertEquals("10.1.0.6", settings.ip());
        assertEquals("zone-a", settings.zone());
        assertEquals("region-a", settings.region());
        assertEquals(Map.of("zone-a", "region-a", "zone-b", "region-b"), settings.regionOfZone());
        assertEquals(7_500, settings.firstPort());
        assertEquals(
                List.of("10.1.0.6:8367", "10.2.0.20:8368"),
                settings.seeds().stream().map(Address::toString).toList());
        assertTrue(settings.bootstrap());
        assertEquals(1_200, settings.heartbeatMs());
        assertEquals("data/control", settings.dataFolder());
        assertEquals(3, settings.toleratedMachines());
    }

    @Test
    void eachAddressIsRead() {
        NodeSettings settings = read("control.toml");
        assertEquals("10.1.0.6:8080", settings.frontend().toString());
        assertEquals("10.1.0.6:8081", settings.readiness().toString());
        assertEquals("10.1.0.6:8367", settings.control().toString());
    }

    @Test
    void eachLimitAndBoundIsRead() {
        NodeSettings settings = read("control.toml");
        assertEquals(426, settings.limits().memoryMb());
        assertEquals(4_096, settings.limits().descriptors());
        NodeSettings.Bounds bounds = settings.bounds();
        assertEquals(2_001, bounds.drainMs());
        assertEquals(2_002, bounds.configMs());
        assertEquals(9_500, bounds.graceMs());
        assertEquals(0.25, bounds.budgetRatio());
        assertEquals(11_500, bounds.budgetWindowMs());
        assertEquals(52, bounds.budgetSlack());
        assertEquals(3_003, bounds.contactMs());
        assertEquals(0.125, bounds.quotaOverage());
        assertEquals(190_000.5, bounds.quotaSlack());
        assertEquals(4_250, bounds.catchUpMs());
    }

    @Test
    void eachMissingKeyHasItsDefault() {
        NodeSettings settings = read("data.toml");
        assertEquals("", settings.region());
        assertEquals(Map.of(), settings.regionOfZone());
        assertFalse(settings.bootstrap());
        assertEquals("", settings.dataFolder());
        assertNull(settings.control());
        assertEquals(0, settings.toleratedMachines());
        assertEquals(256, settings.limits().memoryMb());
        assertEquals(1_024, settings.limits().descriptors());
        NodeSettings.Bounds bounds = settings.bounds();
        assertEquals(2_000, bounds.drainMs());
        assertEquals(2_000, bounds.configMs());
        assertEquals(8_000, bounds.graceMs());
        assertEquals(0.1, bounds.budgetRatio());
        assertEquals(10_000, bounds.budgetWindowMs());
        assertEquals(0, bounds.budgetSlack());
        assertEquals(3_000, bounds.contactMs());
        assertEquals(0, bounds.quotaOverage());
        assertEquals(0, bounds.quotaSlack());
        assertEquals(4_000, bounds.catchUpMs());
    }

    @Test
    void aBadValueIsRefusedInTheSameWords() {
        SettingsException refused = assertThrows(SettingsException.class, () -> read("bad.toml"));
        assertEquals(
                "E102 SETTINGS_VALUE: port_range does not begin with a port", refused.getMessage());
    }
}
