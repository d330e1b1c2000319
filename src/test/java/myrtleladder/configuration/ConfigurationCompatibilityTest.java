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
        Route route = configuration().route("h.example", "/a/x");
        assertEquals("r1", route.name());
        assertEquals("H.example", route.hostname());
        assertEquals("/a/", route.pathPrefix());
        assertEquals(Route.Type.STREAMING, route.type());
        assertEquals(8_001, route.timeoutMs());
        assertEquals(802, route.targetLatencyMs());
        assertEquals(3, route.priority());
        assertEquals(4, route.retries());
        assertTrue(route.open());
        assertTrue(route.sessionAffinity());
        assertTrue(route.resumable());
        assertEquals(805, route.gapAimMs());
        assertEquals(List.of(new Route.Share("s1", 1)), route.shares());
    }

    @Test
    void aSplitRouteIsRead() throws IOException {
        Route route = configuration().route("h.example", "/b/x");
        assertEquals(Route.Type.IDEMPOTENT, route.type());
        assertEquals(
                List.of(new Route.Share("s1", 1.5), new Route.Share("s2", 0.5)), route.shares());
    }

    @Test
    void eachMissingFieldOfARouteHasItsDefault() throws IOException {
        Route route = configuration().route("h.example", "/x");
        assertEquals(Route.Type.NON_IDEMPOTENT, route.type());
        assertEquals(1_000, route.targetLatencyMs());
        assertEquals(0, route.priority());
        assertEquals(1, route.retries());
        assertFalse(route.open());
        assertFalse(route.sessionAffinity());
        assertFalse(route.resumable());
        assertEquals(0, route.gapAimMs());
    }

    @Test
    void eachFieldOfAServiceIsRead() throws IOException {
        Service service = configuration().service("s1");
        assertEquals("/live", service.healthCheck());
        assertEquals(9, service.maxConnections());
        assertEquals(11, service.engine().capacity());
        assertEquals(120_000, service.engine().kvTokens());
        assertEquals(13, service.engine().stride());
        Service plain = configuration().service("s2");
        assertEquals("/healthz", plain.healthCheck());
        assertEquals(100, plain.maxConnections());
        assertNull(plain.engine());
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
        Tenant tenant = configuration().tenant("k2");
        assertEquals("t1", tenant.name());
        assertEquals(List.of("k1", "k2"), tenant.keys());
        assertEquals(5, tenant.priority());
        assertTrue(tenant.countsTokens());
        assertEquals(6, tenant.plainTokens());
        assertEquals(7.5, tenant.ratePerSecond());
        assertEquals(80.5, tenant.burst());
        Tenant plain = configuration().tenant("k3");
        assertEquals(0, plain.priority());
        assertFalse(plain.countsTokens());
        assertEquals(1, plain.plainTokens());
        assertEquals(0, plain.ratePerSecond());
        assertEquals(0, plain.burst());
    }
}
