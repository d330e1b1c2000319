package myrtleladder.dataplane;

import myrtleladder.configuration.Route;
import myrtleladder.configuration.Service;

/**
 * Decides whether a request is retried at another upstream. Each retry takes a token from the
 * service's {@link RetryBudget}; the budget is checked last, so that only retries that are made
 * take a token. Confined to the event loop.
 */
final class RetryPolicy {
    private final RetryBudget budget;

    RetryPolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /**
     * Decides after an upstream rejected the request. The request did not run there, so it may be
     * retried on any route.
     *
     * @param sentAttempts number of upstreams to which the request was sent so far
     */
    boolean shouldRetryRejection(Route route, Service service, int sentAttempts) {
        return sentAttempts < route.retries() && budget.tryAcquire(service.name());
    }

    /**
     * Decides after a failure. The request may have run, so it is retried on idempotent routes
     * only.
     *
     * @param sentAttempts number of upstreams to which the request was sent so far
     */
    boolean shouldRetryFailure(
            Route route, Service service, int sentAttempts, boolean deadlineReached) {
        return route.isIdempotent()
                && sentAttempts < route.retries()
                && !deadlineReached
                && budget.tryAcquire(service.name());
    }
}
