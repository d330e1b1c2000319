package myrtleladder.testbed.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import myrtleladder.testbed.experiment.Experiment.FaultPart;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.fault.LinkFault;

/**
 * Turns the timeline of an experiment into a plan: groups as {@code b0..b13} become their members.
 */
final class FaultTimeline {
    private static final Pattern GROUP = Pattern.compile("([bu])(\\d+)(?:\\.\\.\\1(\\d+))?");
    private static final Set<String> OF_PROCESSES =
            Set.of("kill", "restart", "pause", "resume", "drain");
    private static final Set<String> OF_LINKS = Set.of("cut", "slow", "heal", "reset");

    private FaultTimeline() {}

    static FaultPlan plan(Experiment experiment) {
        List<FaultPlan.Step> steps = new ArrayList<>();
        List<FaultPart> parts = experiment.faults() == null ? List.of() : experiment.faults();
        for (int i = 0; i < parts.size(); i++) {
            FaultPart part = parts.get(i);
            String where = "fault[" + i + "]";
            if (!(part.atS() >= 0 && part.atS() < experiment.seconds())) {
                throw new IllegalArgumentException(
                        where + ".at-s: " + part.atS() + " is outside of the run");
            }
            List<Fault> faults = faults(part, where, experiment);
            for (int n = 0; n < faults.size(); n++) {
                steps.add(
                        new FaultPlan.Step(
                                (long) (part.atS() * 1e6 + n * part.everyMs() * 1e3),
                                faults.get(n)));
            }
        }
        return new FaultPlan(steps);
    }

    private static List<Fault> faults(FaultPart part, String where, Experiment experiment) {
        List<Fault> faults = new ArrayList<>();
        if (OF_PROCESSES.contains(part.what())) {
            for (String who : members(part.who(), where + ".who", experiment)) {
                faults.add(
                        switch (part.what()) {
                            case "kill" -> new Fault.Kill(who);
                            case "restart" -> new Fault.Restart(who);
                            case "pause" -> new Fault.Pause(who);
                            case "resume" -> new Fault.Resume(who);
                            default -> new Fault.Drain(who);
                        });
            }
        } else if (OF_LINKS.contains(part.what())) {
            for (String from : members(part.from(), where + ".from", experiment)) {
                for (String to : members(part.to(), where + ".to", experiment)) {
                    faults.add(ofLink(part, from, to));
                    if (Boolean.TRUE.equals(part.both())) {
                        faults.add(ofLink(part, to, from));
                    }
                }
            }
        } else if (part.what().equals("heal-all")) {
            faults.add(new Fault.HealAll());
        } else {
            throw new IllegalArgumentException(where + ".do: nothing is known of " + part.what());
        }
        return faults;
    }

    private static Fault ofLink(FaultPart part, String from, String to) {
        return switch (part.what()) {
            case "cut" -> new Fault.Link(from, to, LinkFault.CUT);
            case "slow" ->
                    new Fault.Link(
                            from,
                            to,
                            new LinkFault(
                                    false,
                                    (long) (part.delayMs() * 1e3),
                                    (long) (part.jitterMs() * 1e3),
                                    part.loss(),
                                    part.duplicate(),
                                    (long) (part.kbPerS() * 1e3)));
            case "heal" -> new Fault.Heal(from, to);
            default -> new Fault.Reset(from, to);
        };
    }

    private static List<String> members(List<String> groups, String where, Experiment experiment) {
        if (groups == null || groups.isEmpty()) {
            throw new IllegalArgumentException(where + ": is missing");
        }
        List<String> members = new ArrayList<>();
        for (String group : groups) {
            Matcher m = GROUP.matcher(group);
            if (group.equals("discovery")) {
                members.add(group);
                continue;
            }
            if (!m.matches()) {
                throw new IllegalArgumentException(
                        where + ": " + group + " is not a name as b3 or u0..u9");
            }
            int first = Integer.parseInt(m.group(2));
            int last = m.group(3) == null ? first : Integer.parseInt(m.group(3));
            int most = m.group(1).equals("b") ? experiment.balancers() : experiment.upstreams();
            if (last < first || last >= most) {
                throw new IllegalArgumentException(
                        where + ": " + group + " goes beyond the " + most + " there are");
            }
            IntStream.rangeClosed(first, last).forEach(n -> members.add(m.group(1) + n));
        }
        return members;
    }
}
