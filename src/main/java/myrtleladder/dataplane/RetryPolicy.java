package myrtleladder.dataplane;

import myrtleladder.configuration.Route;
import myrtleladder.configuration.Service;

/**
 * Decides whether a request is sent to another upstream. Each retry is taken out of the budget of
 * the service, last of all conditions. Confined to the event loop.
 */
final class RetryPolicy {
    private final RetryBudget budget;

    RetryPolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /**
     * Decides after a rejection: the request did not run, so any route may retry.
     *
     * @param sentAttempts to how many upstreams it was sent so far
     */
    boolean shouldRetryRejection(Route route, Service service, int sentAttempts) {
        return sentAttempts < route.retries() && budget.tryAcquire(service.name());
    }

    /**
     * Decides after a failure: the request may have run, so only idempotent routes retry.
     *
     * @param sentAttempts to how many upstreams it was sent so far
     */
    boolean shouldRetryFailure(
            Route route, Service service, int sentAttempts, boolean deadlineReached) {
        return route.isIdempotent()
                && sentAttempts < route.retries()
                && !deadlineReached
                && budget.tryAcquire(service.name());
    }
}
