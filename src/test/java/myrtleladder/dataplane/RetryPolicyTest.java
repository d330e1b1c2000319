package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Route;
import myrtleladder.configuration.Service;
import org.junit.jupiter.api.Test;

/** Retry decisions by route, number of attempts, deadline and budget. */
class RetryPolicyTest {
    private static final Configuration CONFIGURATION =
            DataPlaneContext.configuration(RoutesDocument.TEXT);
    private static final Route IDEMPOTENT = CONFIGURATION.matchRoute("h.example", "/i/1");
    private static final Route NON_IDEMPOTENT = CONFIGURATION.matchRoute("h.example", "/u/1");
    private static final Service SERVICE = CONFIGURATION.service("p");

    /** With a slack of 4, the initial bucket contains 1.2 tokens, enough for one retry. */
    private final RetryPolicy policy = new RetryPolicy(new RetryBudget(0, 4));

    @Test
    void failureIsRetriedOnIdempotentRoutesOnly() {
        assertFalse(policy.shouldRetryFailure(NON_IDEMPOTENT, SERVICE, 1, false));
        assertTrue(policy.shouldRetryFailure(IDEMPOTENT, SERVICE, 1, false));
    }

    @Test
    void rejectionIsRetriedOnAnyRoute() {
        assertTrue(policy.shouldRetryRejection(NON_IDEMPOTENT, SERVICE, 1));
    }

    @Test
    void exhaustedAttemptsAndReachedDeadlinesTakeNoTokens() {
        assertFalse(policy.shouldRetryFailure(IDEMPOTENT, SERVICE, 2, false));
        assertFalse(policy.shouldRetryFailure(IDEMPOTENT, SERVICE, 1, true));
        assertFalse(policy.shouldRetryRejection(IDEMPOTENT, SERVICE, 2));
        assertTrue(policy.shouldRetryFailure(IDEMPOTENT, SERVICE, 1, false));
    }

    @Test
    void nothingIsRetriedWithoutBudget() {
        assertTrue(policy.shouldRetryFailure(IDEMPOTENT, SERVICE, 1, false));
        assertFalse(policy.shouldRetryFailure(IDEMPOTENT, SERVICE, 1, false));
        assertFalse(policy.shouldRetryRejection(IDEMPOTENT, SERVICE, 1));
    }
}
