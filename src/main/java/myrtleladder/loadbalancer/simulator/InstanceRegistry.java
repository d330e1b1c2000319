package myrtleladder.loadbalancer.simulator;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import myrtleladder.error.OperatorError.InvalidInput;
import myrtleladder.loadbalancer.policy.LoadBalancer;
import myrtleladder.loadbalancer.policy.Settings;
import myrtleladder.loadbalancer.policy.UtilisationLoadBalancer;

/**
 * The instances of the decision module, by instance number. Instances share no state. A {@link
 * RuntimeException} thrown by an instance is caught and reported as a decision of kind {@code bug}.
 * Confined to the adapter's thread.
 */
final class InstanceRegistry {
    private final Map<Integer, LoadBalancer> instances = new HashMap<>();
    private final DecisionWriter decisions;

    InstanceRegistry(DecisionWriter decisions) {
        this.decisions = decisions;
    }

    /**
     * Creates and starts an instance. Replaces an existing instance with the same number, unless
     * the constructor of the new one throws an exception.
     */
    void create(int instance, long nowUs, long seed, Settings settings) {
        runAndReportException(
                instance,
                () -> {
                    LoadBalancer balancer =
                            new UtilisationLoadBalancer(
                                    settings, seed, decisions.forInstance(instance));
                    instances.put(instance, balancer);
                    balancer.start(nowUs);
                });
    }

    /** Removes an instance, if it exists. */
    void destroy(int instance) {
        instances.remove(instance);
    }

    /**
     * Delivers an event to an instance.
     *
     * @throws InvalidInput if the instance does not exist
     */
    void deliver(int instance, Consumer<LoadBalancer> event) throws InvalidInput {
        LoadBalancer balancer = instances.get(instance);
        if (balancer == null) {
            throw new InvalidInput("an event for instance " + instance + ", which does not exist");
        }
        runAndReportException(instance, () -> event.accept(balancer));
    }

    private void runAndReportException(int instance, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            // Reported rather than rethrown: the simulator counts bugs, and other instances
            // continue.
            StackTraceElement[] trace = e.getStackTrace();
            decisions.writeBug(instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
