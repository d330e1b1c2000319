package myrtleladder.maintenance;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import myrtleladder.consensus.FencingToken;
import myrtleladder.consensus.ProcessId;
import myrtleladder.consensus.View;

/** The processes that may send to upstreams, in the order in which they came. */
final class SenderRegistry {
    private final Map<ProcessId, Sender> senders = new LinkedHashMap<>();

    /**
     * A process that may send.
     *
     * @param gone removed from the view, or unseen for long: it may still send, by what it knows
     * @param knownPlan the latest plan that it has reported to know, null for none
     */
    record Sender(boolean gone, FencingToken knownPlan) {}

    Map<ProcessId, Sender> all() {
        return senders;
    }

    /** Replaces all senders. */
    void reset(Map<ProcessId, Sender> newSenders) {
        senders.clear();
        senders.putAll(newSenders);
    }

    boolean contains(ProcessId process) {
        return senders.containsKey(process);
    }

    /** The latest plan that a process has reported to know, null for none. */
    FencingToken knownPlan(ProcessId process) {
        Sender sender = senders.get(process);
        return sender == null ? null : sender.knownPlan();
    }

    List<ProcessId> present() {
        return select(sender -> !sender.gone());
    }

    List<ProcessId> gone() {
        return select(Sender::gone);
    }

    private List<ProcessId> select(Predicate<Sender> condition) {
        return senders.entrySet().stream()
                .filter(entry -> condition.test(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }

    boolean isPresent(ProcessId process) {
        Sender sender = senders.get(process);
        return sender != null && !sender.gone();
    }

    /** Adds a process; others of its name have ended. False if it was there already. */
    boolean register(ProcessId process) {
        senders.keySet().removeIf(s -> s.name().equals(process.name()) && !s.equals(process));
        return senders.put(process, new Sender(false, knownPlan(process))) == null;
    }

    /** Marks a process as gone unless the view has it. */
    boolean markGone(String name, String hexadecimalId, View view) {
        List<ProcessId> gone =
                present().stream()
                        .filter(s -> s.name().equals(name))
                        .filter(s -> Long.toHexString(s.startId()).equals(hexadecimalId))
                        .filter(s -> !view.has(s))
                        .toList();
        gone.forEach(s -> senders.put(s, new Sender(true, knownPlan(s))));
        return !gone.isEmpty();
    }

    /** Removes what an operator knows to have ended. */
    boolean removeGone(String name) {
        return senders.entrySet()
                .removeIf(s -> s.getKey().name().equals(name) && s.getValue().gone());
    }

    /** Notes which plan a process knows; false if that is not news. */
    boolean setKnownPlan(ProcessId process, FencingToken plan) {
        Sender sender = senders.get(process);
        if (sender == null
                || (sender.knownPlan() != null && sender.knownPlan().compareTo(plan) >= 0)) {
            return false;
        }
        senders.put(process, new Sender(sender.gone(), plan));
        return true;
    }

    /** Adds the members of a new view, and marks those as gone that it has removed. */
    void onView(View before, View next) {
        next.startIds()
                .forEach(
                        (name, startId) -> {
                            ProcessId member = new ProcessId(name, startId);
                            register(member);
                        });
        senders.replaceAll(
                (process, sender) ->
                        before.has(process) && !next.has(process)
                                ? new Sender(true, sender.knownPlan())
                                : sender);
    }
}
