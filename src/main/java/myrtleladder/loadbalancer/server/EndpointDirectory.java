package myrtleladder.loadbalancer.server;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.loadbalancer.policy.Upstream.State;

/**
 * The endpoints as last listed by discovery, with the overrides of maintenance: endpoints set to
 * draining, and restart times of endpoints that have restarted.
 *
 * <p>An endpoint that discovery lists as draining stays draining, and the later of the two start
 * times applies. Confined to the event loop.
 */
final class EndpointDirectory {
    private final Map<String, EndpointList.Endpoint> listed = new LinkedHashMap<>();

    /** Unix time in ms at which endpoints restarted in maintenance, by id. */
    private final Map<String, Long> restartedMs = new HashMap<>();

    private Set<String> draining = Set.of();

    /** Applies a list or changes from discovery. Returns it with the overrides of maintenance. */
    EndpointList update(EndpointList list) {
        if (list.isFull()) {
            listed.clear();
        }
        for (EndpointList.Endpoint endpoint : list.endpoints()) {
            if (endpoint.state() == State.GONE) {
                listed.remove(endpoint.id());
                restartedMs.remove(endpoint.id());
            } else {
                listed.put(endpoint.id(), endpoint);
            }
        }
        if (draining.isEmpty() && restartedMs.isEmpty()) {
            return list;
        }
        List<EndpointList.Endpoint> effective =
                list.endpoints().stream().map(this::effective).toList();
        return new EndpointList(list.version(), list.isFull(), effective);
    }

    /**
     * Replaces the set of endpoints that maintenance drains. Returns the endpoints whose membership
     * in the set changes, in order of id; possibly none.
     *
     * @param drainingIds endpoints to treat as draining
     * @param restartedIds endpoints that have just restarted
     */
    EndpointList setDraining(
            Set<String> drainingIds, Set<String> restartedIds, MonotonicClock clock) {
        Set<String> previous = draining;
        Set<String> changed = new HashSet<>(previous);
        changed.addAll(drainingIds);
        changed.removeIf(
                id ->
                        (previous.contains(id) && drainingIds.contains(id))
                                || !listed.containsKey(id));
        draining = Set.copyOf(drainingIds);
        restartedIds.forEach(id -> restartedMs.put(id, clock.nowUs() / 1_000));
        List<EndpointList.Endpoint> effective =
                changed.stream().sorted().map(id -> effective(listed.get(id))).toList();
        return new EndpointList(0, false, effective);
    }

    private EndpointList.Endpoint effective(EndpointList.Endpoint endpoint) {
        boolean isDrained = endpoint.state() == State.READY && draining.contains(endpoint.id());
        return new EndpointList.Endpoint(
                endpoint.id(),
                endpoint.address(),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.cell(),
                isDrained ? State.DRAINING : endpoint.state(),
                endpoint.weight(),
                Math.max(endpoint.startedMs(), restartedMs.getOrDefault(endpoint.id(), 0L)));
    }

    /** Returns all endpoints as listed by discovery. */
    List<TrafficControl.ListedEndpoint> listed() {
        return listed.values().stream()
                .map(
                        endpoint ->
                                new TrafficControl.ListedEndpoint(
                                        endpoint.id(),
                                        endpoint.zone(),
                                        endpoint.kind(),
                                        endpoint.cell(),
                                        endpoint.state() == State.READY))
                .toList();
    }
}
