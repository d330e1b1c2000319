package myrtleladder.controlplane;

import java.nio.charset.StandardCharsets;
import java.util.List;
import myrtleladder.configuration.ConfigurationDocument;
import myrtleladder.configuration.ConfigurationException;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** The error messages for invalid configurations. */
class ConfigurationErrorsApprovalTest {
    private static final List<String> DOCUMENTS =
            List.of(
                    "{'generation':8,'routes':[",
                    "[1]",
                    "{'generation':8} x",
                    "{'routes':[]}",
                    "{'generation':'8'}",
                    "{'generation':8,'routes':{}}",
                    "{'generation':8,'routes':[7]}",
                    "{'generation':8,'routes':[{'name':'r'}]}",
                    "{'generation':7}",
                    "{'generation':8,'routes':[{'name':'r','hostname':'h','path_prefix':'/',"
                            + "'backend':'x','timeout_ms':1}]}",
                    "{'generation':8,'services':[{'name':'s'}],'routes':[{'name':'r',"
                            + "'hostname':'h','path_prefix':'/',"
                            + "'backend':'s','timeout_ms':0}]}",
                    "{'generation':8,'services':[{'name':'s'}],'routes':[{'name':'r',"
                            + "'hostname':'h','path_prefix':'/',"
                            + "'traffic_split':[{'backend':'s','weight':0}],'timeout_ms':5}]}",
                    "{'generation':8,'tenants':[{'name':'a','api_keys':['k']},{'name':'b',"
                            + "'api_keys':['k']}]}");

    @Test
    void errorsNameTheirPlace() {
        StringBuilder text = new StringBuilder();
        ConfigurationDocument current =
                ConfigurationDocument.fromStored(
                        "{\"generation\":7}".getBytes(StandardCharsets.UTF_8), 7);
        for (String document : DOCUMENTS) {
            String result = "taken";
            try {
                current.replacedBy(document.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
            } catch (ConfigurationException e) {
                result = e.getMessage();
            }
            text.append(document).append("\n    ").append(result).append('\n');
        }
        Approvals.verify(text.toString());
    }
}
