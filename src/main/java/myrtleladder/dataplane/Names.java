package myrtleladder.dataplane;

import java.util.Set;
import myrtleladder.http.Headers;

/** The header fields of the deployments' protocol, and what of a message is passed on. */
final class Names {
    static final String ATTEMPT = "Myrtleladder-Attempt-Id";
    static final String DEADLINE = "Myrtleladder-Deadline-Ms";
    static final String INSTANCE = "Myrtleladder-Expect-Instance";
    static final String TENANT = "Myrtleladder-Tenant";
    static final String SIGNATURE = "Myrtleladder-Upstream-Signature";
    static final String NOT_EXECUTED = "Myrtleladder-Not-Executed";
    static final String LOAD = "Myrtleladder-Upstream-Load";
    static final String USAGE = "Myrtleladder-Token-Usage";
    static final String PREFIX = "Myrtleladder-Prompt-Prefix";
    static final String PRIORITY = "Priority";
    static final String VERSIONS = "Versions";
    static final String EXPECT_VERSION = "Expect-Version";
    static final String LAST_EVENT = "Last-Event-Id";
    static final String AUTHORIZATION = "Authorization";
    static final String RETRY_AFTER = "Retry-After";

    private static final Set<String> OF_ONE_CONNECTION =
            Set.of(
                    "connection",
                    "keep-alive",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "content-length",
                    "expect");
    private static final Set<String> OF_THE_FLEET =
            Set.of(
                    "authorization",
                    "myrtleladder-tenant",
                    "myrtleladder-expect-instance",
                    "priority",
                    "expect-version",
                    "myrtleladder-deadline-ms",
                    "last-event-id");

    private Names() {}

    /** What of a client's fields an upstream receives; the fleet's own are added by the caller. */
    static Headers forUpstream(Headers client) {
        Headers passed = passedOn(client);
        OF_THE_FLEET.forEach(passed::remove);
        return passed;
    }

    /** The fields that do not concern one connection alone. */
    static Headers passedOn(Headers source) {
        Headers passed = new Headers();
        String named = source.get("Connection");
        Set<String> ofThisOne =
                named == null
                        ? Set.of()
                        : Set.of(
                                java.util.Arrays.stream(named.toLowerCase().split(","))
                                        .map(String::trim)
                                        .distinct()
                                        .toArray(String[]::new));
        source.forEach(
                (name, value) -> {
                    String lower = name.toLowerCase();
                    if (!OF_ONE_CONNECTION.contains(lower) && !ofThisOne.contains(lower)) {
                        passed.add(name, value);
                    }
                });
        return passed;
    }
}
