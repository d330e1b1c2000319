package myrtleladder.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import myrtleladder.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Documents and patches that operators may send, and the result code of each rejection. */
class ConfigurationDocumentTest {
    static final String DOCUMENT =
            "{'generation':7,'routes':["
                    + "{'name':'r1','hostname':'h.example','path_prefix':'/a/',"
                    + "'type':'streaming','timeout_ms':8000,"
                    + "'priority':0,'backend':'s1','retries':2,'resumable':true},"
                    + "{'name':'r2','hostname':'h.example','path_prefix':'/a/b/',"
                    + "'type':'non_idempotent',"
                    + "'timeout_ms':500,'traffic_split':[{'backend':'s1','weight':1},"
                    + "{'backend':'s2','weight':0}]}],"
                    + "'services':[{'name':'s1','max_connections':9,'bandwidth':1100000.0},"
                    + "{'name':'s2'}],"
                    + "'limits':{'idle_timeout_ms':15000},"
                    + "'tenants':[{'name':'t1','api_keys':['k1','k2'],'unit':'tokens',"
                    + "'rate_per_s':5}]}";

    static byte[] json(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    static ConfigurationDocument initialDocument() {
        return ConfigurationDocument.empty().replacedBy(json(DOCUMENT));
    }

    @Test
    void aCompleteConfigurationIsStoredAsItWasSent() {
        assertEquals(
                DOCUMENT.replace('\'', '"'),
                new String(initialDocument().bytes(), StandardCharsets.UTF_8));
    }

    @Test
    void aPathIsRoutedByTheLongestMatchingPrefixOfItsHost() {
        Configuration configuration = initialDocument().configuration();
        assertEquals("r2", configuration.matchRoute("H.example:80", "/a/b/c").name());
        assertEquals("r1", configuration.matchRoute("h.example", "/a/c").name());
        assertNull(configuration.matchRoute("h.example", "/c/"));
        assertNull(configuration.matchRoute("other", "/a/c"));
        assertEquals("t1", configuration.tenantByApiKey("k2").name());
        assertNull(configuration.tenantByApiKey("k3"));
    }

    @Test
    void aPatchOfNamedItemsKeepsAllOthers() {
        ConfigurationDocument changed =
                initialDocument()
                        .patchedBy(
                                json(
                                        "{'generation':9,'upsert':{'routes':["
                                                + "{'name':'r1','hostname':'h.example',"
                                                + "'path_prefix':'/n/','type':'streaming',"
                                                + "'timeout_ms':1,"
                                                + "'backend':'s2'}],"
                                                + "'limits':{'idle_timeout_ms':4000}},"
                                                + "'delete':{'routes':['r2']}}"));
        Configuration configuration = changed.configuration();
        assertEquals(9, changed.generation());
        assertEquals("r1", configuration.matchRoute("h.example", "/n/x").name());
        assertNull(configuration.matchRoute("h.example", "/a/b/c"));
        assertEquals(4_000, configuration.limits().idleTimeoutMs());
        assertEquals("t1", configuration.tenantByApiKey("k1").name());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "CONFIGURATION_SYNTAX|{'generation':8,'routes':[",
                "CONFIGURATION_SYNTAX|[]",
                "CONFIGURATION_SYNTAX|{'generation':8} x",
                "CONFIGURATION_FIELD|{'routes':[]}",
                "CONFIGURATION_FIELD|{'generation':8,'routes':{}}",
                "CONFIGURATION_FIELD|{'generation':8,'routes':[{'name':'r'}]}",
                "OLD_GENERATION|{'generation':7}",
                "OLD_GENERATION|{'generation':3}",
                "UNKNOWN_SERVICE|{'generation':8,'routes':[{'name':'r','hostname':'h',"
                        + "'path_prefix':'/','backend':'x',"
                        + "'timeout_ms':1}]}",
                "NO_TIMEOUT|{'generation':8,'routes':[{'name':'r','hostname':'h',"
                        + "'path_prefix':'/','backend':'s',"
                        + "'timeout_ms':0}],'services':[{'name':'s'}]}",
                "NO_WEIGHT|{'generation':8,'routes':[{'name':'r','hostname':'h',"
                    + "'path_prefix':'/','timeout_ms':1,"
                    + "'traffic_split':[{'backend':'s','weight':0}]}],'services':[{'name':'s'}]}",
                "SAME_PLACE|{'generation':8,'routes':[{'name':'r','hostname':'h',"
                        + "'path_prefix':'/','timeout_ms':1,"
                        + "'backend':'s'},{'name':'q','hostname':'H','path_prefix':'/',"
                        + "'timeout_ms':1,'backend':'s'}],"
                        + "'services':[{'name':'s'}]}",
                "SHARED_KEY|{'generation':8,'tenants':[{'name':'a','api_keys':['k']},"
                        + "{'name':'b','api_keys':['k']}]}"
            })
    void anInvalidDocumentIsRejectedWithItsResultCode(ResultCode code, String text) {
        ConfigurationException rejection =
                assertThrows(
                        ConfigurationException.class,
                        () -> initialDocument().replacedBy(json(text)));
        assertEquals(code, rejection.code(), rejection.getMessage());
    }
}
