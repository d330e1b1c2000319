package myrtleladder.maintenance;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import myrtleladder.consensus.ProcessId;
import myrtleladder.consensus.View;

/**
 * The whole state of a {@link MaintenanceStateMachine} and its JSON. Equal states have equal bytes;
 * processes of two versions exchange them during a rolling update.
 *
 * @param safeEpoch the epoch in which nothing permitted before it can be going on any more
 * @param haltReason null if maintenance is not halted
 * @param ignoredCommands how many commands did not fit when they were applied
 */
record MaintenanceSnapshot(
        View view,
        long safeEpoch,
        String haltReason,
        long ignoredCommands,
        List<MaintenanceJob> jobs,
        Map<String, MaintenancePlan> plans,
        Map<ProcessId, SenderRegistry.Sender> senders,
        Map<String, String> refusals) {
    byte[] encode() {
        return JsonMaps.write(
                JsonMaps.map(
                        "epoch",
                        view.epoch(),
                        "number",
                        view.number(),
                        "view",
                        MaintenanceJob.lives(
                                view.startIds().entrySet().stream()
                                        .map(l -> new ProcessId(l.getKey(), l.getValue()))
                                        .toList()),
                        "safe",
                        safeEpoch,
                        "halted",
                        haltReason,
                        "ignored",
                        ignoredCommands,
                        "jobs",
                        jobs.stream().map(MaintenanceJob::toMap).toList(),
                        "plans",
                        plansToMaps(),
                        "senders",
                        sendersToMaps(),
                        "refusals",
                        refusalsToMaps()));
    }

    private List<Object> plansToMaps() {
        List<Object> maps = new ArrayList<>();
        for (MaintenancePlan plan : plans.values()) {
            maps.add(
                    JsonMaps.map(
                            "terms",
                            plan.terms().toMap(),
                            "by",
                            plan.proposer().name(),
                            "life",
                            plan.proposer().startId(),
                            "asked",
                            MaintenanceJob.token(plan.startToken()),
                            "whole",
                            MaintenanceJob.token(plan.completeToken())));
        }
        return maps;
    }

    private List<Object> sendersToMaps() {
        List<Object> maps = new ArrayList<>();
        senders.forEach(
                (process, sender) ->
                        maps.add(
                                JsonMaps.map(
                                        "name",
                                        process.name(),
                                        "life",
                                        process.startId(),
                                        "gone",
                                        sender.gone(),
                                        "knows",
                                        MaintenanceJob.token(sender.knownPlan()))));
        return maps;
    }

    private List<Object> refusalsToMaps() {
        List<Object> maps = new ArrayList<>();
        refusals.forEach((plan, why) -> maps.add(JsonMaps.map("plan", plan, "why", why)));
        return maps;
    }

    /**
     * Decodes what {@link #encode} has written; no bytes stand for the initial state.
     *
     * @throws IOException if it is no JSON object
     */
    static MaintenanceSnapshot decode(byte[] bytes) throws IOException {
        Map<String, Object> map = bytes.length == 0 ? Map.of() : JsonMaps.read(bytes);
        Map<String, Long> members = new TreeMap<>();
        MaintenanceJob.lives(JsonMaps.list(map, "view"))
                .forEach(member -> members.put(member.name(), member.startId()));
        View view =
                new View(JsonMaps.number(map, "epoch"), JsonMaps.number(map, "number"), members);
        return new MaintenanceSnapshot(
                view,
                JsonMaps.number(map, "safe"),
                JsonMaps.text(map, "halted"),
                JsonMaps.number(map, "ignored"),
                JsonMaps.list(map, "jobs").stream().map(MaintenanceJob::of).toList(),
                plansOf(map),
                sendersOf(map),
                refusalsOf(map));
    }

    private static Map<String, MaintenancePlan> plansOf(Map<String, Object> map) {
        Map<String, MaintenancePlan> plans = new LinkedHashMap<>();
        for (Map<String, Object> plan : JsonMaps.list(map, "plans")) {
            PlanTerms terms = PlanTerms.of(JsonMaps.object(plan, "terms"));
            ProcessId proposer =
                    new ProcessId(JsonMaps.text(plan, "by"), JsonMaps.number(plan, "life"));
            plans.put(
                    terms.plan(),
                    new MaintenancePlan(
                            terms,
                            proposer,
                            MaintenanceJob.token(plan, "asked"),
                            MaintenanceJob.token(plan, "whole")));
        }
        return plans;
    }

    private static Map<ProcessId, SenderRegistry.Sender> sendersOf(Map<String, Object> map) {
        Map<ProcessId, SenderRegistry.Sender> senders = new LinkedHashMap<>();
        for (Map<String, Object> sender : JsonMaps.list(map, "senders")) {
            senders.put(
                    new ProcessId(JsonMaps.text(sender, "name"), JsonMaps.number(sender, "life")),
                    new SenderRegistry.Sender(
                            (Boolean) sender.get("gone"), MaintenanceJob.token(sender, "knows")));
        }
        return senders;
    }

    private static Map<String, String> refusalsOf(Map<String, Object> map) {
        Map<String, String> refusals = new LinkedHashMap<>();
        for (Map<String, Object> refusal : JsonMaps.list(map, "refusals")) {
            refusals.put(JsonMaps.text(refusal, "plan"), JsonMaps.text(refusal, "why"));
        }
        return refusals;
    }
}
