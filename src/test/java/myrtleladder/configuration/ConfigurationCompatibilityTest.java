package myrtleladder.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Compares the operator's configuration document with golden files that contain every field.
 * Operators write the document, control nodes store it and balancers read it, so the names, units
 * and defaults of its fields, its serialized form and its compression must not change.
 */
class ConfigurationCompatibilityTest {
    private static final Path FOLDER = Path.of("src/test/resources/compatibility/configuration");

    private static ConfigurationDocument document() throws IOException {
        return ConfigurationDocument.empty()
                .replacedBy(Files.readAllBytes(FOLDER.resolve("whole.json")));
    }

    private static Configuration configuration() throws IOException {
        return document().configuration();
    }

    @Test
    void theDocumentIsWrittenAsTheGoldenBytes() throws IOException {
        assertEquals(
                Files.readString(FOLDER.resolve("written.json")).strip(),
                new String(document().bytes(), StandardCharsets.UTF_8));
    }

    @Test
    void aWrittenDocumentIsReadAndWrittenAgainUnchanged() throws IOException {
        byte[] written = document().bytes();
        assertArrayEquals(written, ConfigurationDocument.empty().replacedBy(written).bytes());
        assertEquals(17, document().generation());
    }

    @Test
    void theCompressedDocumentIsRestored() throws IOException {
        String hex = Files.readString(FOLDER.resolve("compressed.hex")).replaceAll("\\s", "");
        assertArrayEquals(document().bytes(), Compression.inflate(HexFormat.of().parseHex(hex)));
    }

    @Test
    void eachFieldOfARouteIsRead() throws IOException {
        Route route = configuration().matchRoute("h.example", "/a/x");
        assertEquals("r1", route.name());
        assertEquals("H.example", route.hostname());
        assertEquals("/a/", route.pathPrefix());
        assertEquals(Route.Type.STREAMING, route.type());
        assertEquals(8_001, route.timeoutMs());
        assertEquals(802, route.targetLatencyMs());
        assertEquals(3, route.priority());
        assertEquals(4, route.retries());
        assertTrue(route.isPublic());
        assertTrue(route.sessionAffinity());
        assertTrue(route.resumable());
        assertEquals(805, route.targetEventGapMs());
        assertEquals(List.of(new Route.WeightedService("s1", 1)), route.trafficSplit());
    }

    @Test
    void aSplitRouteIsRead() throws IOException {
        Route route = configuration().matchRoute("h.example", "/b/x");
        assertEquals(Route.Type.IDEMPOTENT, route.type());
        assertEquals(
                List.of(new Route.WeightedService("s1", 1.5), new Route.WeightedService("s2", 0.5)),
                route.trafficSplit());
    }

    @Test
    void eachMissingFieldOfARouteHasItsDefault() throws IOException {
        Route route = configuration().matchRoute("h.example", "/x");
        assertEquals(Route.Type.NON_IDEMPOTENT, route.type());
        assertEquals(1_000, route.targetLatencyMs());
        assertEquals(0, route.priority());
        assertEquals(1, route.retries());
        assertFalse(route.isPublic());
        assertFalse(route.sessionAffinity());
        assertFalse(route.resumable());
        assertEquals(0, route.targetEventGapMs());
    }

    @Test
    void eachFieldOfAServiceIsRead() throws IOException {
        Service service = configuration().service("s1");
        assertEquals("/live", service.healthCheckPath());
        assertEquals(9, service.maxConnections());
        assertEquals(11, service.engine().maxBatchSize());
        assertEquals(120_000, service.engine().kvCacheTokens());
        assertEquals(13, service.engine().tokensPerEvent());
        Service withDefaults = configuration().service("s2");
        assertEquals("/healthz", withDefaults.healthCheckPath());
        assertEquals(100, withDefaults.maxConnections());
        assertNull(withDefaults.engine());
    }

    @Test
    void eachLimitIsRead() throws IOException {
        ClientLimits limits = configuration().limits();
        assertEquals(16_001, limits.maxHeaderBytes());
        assertEquals(4_000_002, limits.maxBodyBytes());
        assertEquals(3_003, limits.headerTimeoutMs());
        assertEquals(15_004, limits.idleTimeoutMs());
    }

    @Test
    void eachFieldOfATenantIsRead() throws IOException {
        Tenant tenant = configuration().tenantByApiKey("k2");
        assertEquals("t1", tenant.name());
        assertEquals(List.of("k1", "k2"), tenant.apiKeys());
        assertEquals(5, tenant.priority());
        assertTrue(tenant.countsTokens());
        assertEquals(6, tenant.defaultTokens());
        assertEquals(7.5, tenant.ratePerSecond());
        assertEquals(80.5, tenant.burst());
        Tenant withDefaults = configuration().tenantByApiKey("k3");
        assertEquals(0, withDefaults.priority());
        assertFalse(withDefaults.countsTokens());
        assertEquals(1, withDefaults.defaultTokens());
        assertEquals(0, withDefaults.ratePerSecond());
        assertEquals(0, withDefaults.burst());
    }
}
