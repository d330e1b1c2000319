package myrtleladder.dataplane;

/** Names of the header fields that clients, balancers and upstreams exchange. */
final class HeaderNames {
    /** Identifier of a client's attempt; the upstream echoes it in its response. */
    static final String ATTEMPT_ID = "Myrtleladder-Attempt-Id";

    /** Milliseconds until the sender's deadline. */
    static final String DEADLINE_MS = "Myrtleladder-Deadline-Ms";

    /** Instance to which a request is addressed; any other instance responds with 421. */
    static final String EXPECT_INSTANCE = "Myrtleladder-Expect-Instance";

    /** Name of the authenticated tenant; set by the balancer. */
    static final String TENANT = "Myrtleladder-Tenant";

    /** Proves that an upstream generated a response. */
    static final String UPSTREAM_SIGNATURE = "Myrtleladder-Upstream-Signature";

    /** Present in responses to requests that were not executed. */
    static final String NOT_EXECUTED = "Myrtleladder-Not-Executed";

    /** Number of running requests, queued requests and slots of the upstream, comma-separated. */
    static final String UPSTREAM_LOAD = "Myrtleladder-Upstream-Load";

    /** Prompt tokens and completion tokens of a request, comma-separated. */
    static final String TOKEN_USAGE = "Myrtleladder-Token-Usage";

    /** Segments of a prompt in order; see {@link PromptSegments}. */
    static final String PROMPT_PREFIX = "Myrtleladder-Prompt-Prefix";

    /** Priority at a model upstream, lowest number first; see {@link PrefillPriority}. */
    static final String PRIORITY = "Priority";

    /** Version of the model weights that generated a response. */
    static final String VERSIONS = "Versions";

    /** Version of the model weights with which a stream is to be resumed. */
    static final String EXPECT_VERSION = "Expect-Version";

    /** Identifier of the last server-sent event that the client received. */
    static final String LAST_EVENT_ID = "Last-Event-Id";

    static final String AUTHORIZATION = "Authorization";

    /** Seconds, with three decimals, after which the client may retry. */
    static final String RETRY_AFTER = "Retry-After";

    private HeaderNames() {}
}
