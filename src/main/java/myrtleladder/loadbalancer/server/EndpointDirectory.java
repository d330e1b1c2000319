package myrtleladder.loadbalancer.server;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.loadbalancer.policy.Upstream.State;

/**
 * The endpoints as discovery listed them last, and over them what maintenance has changed:
 * endpoints set to draining, and restart times of those that came back.
 *
 * <p>Discovery takes precedence: an endpoint that drains there drains, and the later of two start
 * times counts. Confined to the event loop.
 */
final class EndpointDirectory {
    private final Map<String, EndpointList.Endpoint> listed = new LinkedHashMap<>();

    /** Unix time in ms at which endpoints came back from maintenance, by id. */
    private final Map<String, Long> restartedMs = new HashMap<>();

    private Set<String> draining = Set.of();

    /**
     * Takes over a list from discovery, or changes of one. Returns the same with the changes of
     * maintenance applied.
     */
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
     * Replaces the set of endpoints that maintenance drains. Returns those that change by it, in
     * the order of their ids; maybe none.
     *
     * @param drainingIds endpoints that count as draining from now on
     * @param restartedIds endpoints that have restarted just now
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

    /** All endpoints as discovery listed them. */
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
