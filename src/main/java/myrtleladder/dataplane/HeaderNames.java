package myrtleladder.dataplane;

/** Header fields that requests and responses of the deployments carry. */
final class HeaderNames {
    /** Identity of a client's attempt; the upstream repeats it in its response. */
    static final String ATTEMPT_ID = "Myrtleladder-Attempt-Id";

    /** Milliseconds that are left until the requester gives up. */
    static final String DEADLINE_MS = "Myrtleladder-Deadline-Ms";

    /** Incarnation to which a request is addressed; another one answers 421. */
    static final String EXPECT_INSTANCE = "Myrtleladder-Expect-Instance";

    /** Name of the authenticated tenant, set by the balancer. */
    static final String TENANT = "Myrtleladder-Tenant";

    /** Proof that an upstream made a response. */
    static final String UPSTREAM_SIGNATURE = "Myrtleladder-Upstream-Signature";

    /** Present in responses to requests that did not run. */
    static final String NOT_EXECUTED = "Myrtleladder-Not-Executed";

    /** Running, waiting and total slots of the upstream, separated by commas. */
    static final String UPSTREAM_LOAD = "Myrtleladder-Upstream-Load";

    /** Prompt tokens and completion tokens of a request, separated by a comma. */
    static final String TOKEN_USAGE = "Myrtleladder-Token-Usage";

    /** Segments of a prompt in order, see {@link PromptSegments}. */
    static final String PROMPT_PREFIX = "Myrtleladder-Prompt-Prefix";

    /** Priority at a model upstream, the lowest number first; see {@link PrefillPriority}. */
    static final String PRIORITY = "Priority";

    /** Version of the model weights that made a response. */
    static final String VERSIONS = "Versions";

    /** Version of the model weights that a resumed response needs. */
    static final String EXPECT_VERSION = "Expect-Version";

    /** Identifier of the last event that the client has (server-sent events). */
    static final String LAST_EVENT_ID = "Last-Event-Id";

    static final String AUTHORIZATION = "Authorization";

    /** Seconds with three decimals after which a retry makes sense. */
    static final String RETRY_AFTER = "Retry-After";

    private HeaderNames() {}
}
