package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.UpstreamLoad;

/**
 * What this balancer tells the others by way of the primary, and what it takes from them: what is
 * under way at each upstream, and which beginnings of prompts each keeps. Announcements are sent
 * again until an answer shows that they arrived.
 */
final class FleetKnowledge {
    /** How long a balancer goes by the others' figures after it heard them last. */
    static final long FRESH = 2_000;

    private static final long ANNOUNCE_AGAIN = 20_000;
    private static final int MOST_WAITING = 512;
    private static final int MOST_ANNOUNCED = 64; // with one report

    /** No request waits. */
    static final Supplier<UpstreamLoad> NOTHING = () -> null;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final UpstreamDirectory directory;
    private final long process;
    private final Set<Announcement> waiting = new LinkedHashSet<>();
    private String balancer = "";
    private long sequence;
    private long epoch;
    private long promptRevision;
    private long heardAt = NEVER;
    private Supplier<UpstreamLoad> intended = NOTHING;

    private record Announcement(long prompt, int upstream) {}

    FleetKnowledge(UpstreamDirectory directory, long process) {
        this.directory = directory;
        this.process = process;
    }

    /** The name under which the reports go. */
    void name(String own) {
        balancer = own;
    }

    /** Whether the others' figures are known and fresh. */
    boolean inTouch(long now) {
        return now - heardAt <= FRESH;
    }

    /** A prompt is sent to an upstream, which keeps its shared beginning from then on. */
    void sent(PromptParts prompt, Upstream upstream, long now) {
        long beginning = prompt.subject();
        if (now - upstream.memory().toldAt(beginning) < ANNOUNCE_AGAIN) {
            return;
        }
        upstream.memory().told(beginning, now);
        if (waiting.size() < MOST_WAITING) {
            waiting.add(new Announcement(beginning, upstream.key()));
        }
    }

    /**
     * While a request waits for its quota, reports tell where it will likely go: the primary hears
     * of it before the request is sent rather than with the next poll.
     */
    void intends(Supplier<UpstreamLoad> likely) {
        intended = likely;
    }

    /** All that this balancer has to tell now. */
    LoadReport report() {
        LoadReport report = new LoadReport();
        report.balancer = balancer;
        report.processId = process;
        report.sequence = ++sequence;
        report.epoch = epoch;
        report.promptRevision = promptRevision;
        for (Upstream upstream : directory.all()) {
            if (upstream.own() > 0) {
                report.loads.add(loadOf(upstream));
            }
        }
        UpstreamLoad next = intended.get();
        if (next != null) {
            report.loads.add(next);
        }
        waiting.stream()
                .limit(MOST_ANNOUNCED)
                .forEach(a -> report.cachedPrompts.add(CachedPrompt.of(a.prompt(), a.upstream())));
        return report;
    }

    private static UpstreamLoad loadOf(Upstream upstream) {
        long tokens = Math.min(Integer.MAX_VALUE, upstream.backlogTokens());
        return UpstreamLoad.of(upstream.key(), upstream.own(), (int) tokens);
    }

    /** Takes the answer to a report; null says that nothing is known there. */
    void take(LoadReport report, FleetLoads answer, long now) {
        if (answer == null || answer.epoch < epoch) {
            return;
        }
        List<Announcement> arrived = new ArrayList<>();
        report.cachedPrompts.forEach(
                k -> arrived.add(new Announcement(k.prefixHash, k.upstreamKey)));
        arrived.forEach(waiting::remove);
        promptRevision =
                answer.epoch == epoch
                        ? Math.max(promptRevision, answer.promptRevision)
                        : answer.promptRevision;
        epoch = answer.epoch;
        directory.takePrompts(answer.cachedPrompts, now);
        if (answer.loadsKnown) {
            heardAt = now;
            directory.takeLoads(answer.loads, now);
        }
    }
}
