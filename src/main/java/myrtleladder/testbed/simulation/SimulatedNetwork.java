package myrtleladder.testbed.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.fault.LinkFaults;

/**
 * Processes, their clocks and the network between them, in virtual time. All that happens follows
 * from the seed, the processes and the plan: events of one moment come in the order in which they
 * were brought about.
 */
public final class SimulatedNetwork {
    private static final double MILLION = 1e6;

    private final long seed;
    private final LinkFaults links;
    private final EventHistory history = new EventHistory();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.number, b.number));
    private long now;
    private long numbers;
    private long handled;

    /** A world whose links behave as {@code usual} until a fault is put on them. */
    public SimulatedNetwork(long seed, LinkFault usual) {
        this.seed = seed;
        this.links = new LinkFaults(seed, usual);
    }

    private record Event(long at, long number, Runnable what) {}

    /** Adds a process and starts it now. */
    public void add(String name, ProtocolCore.Maker maker) {
        Process process = new Process(name, maker);
        if (processes.putIfAbsent(name, process) != null) {
            throw new IllegalArgumentException("there is a process " + name + " already");
        }
        process.start();
    }

    /** Brings about each step of a plan at its time, counted from now. */
    public void follow(FaultPlan plan) {
        plan.steps().forEach(step -> at(now + step.at(), () -> bring(step.fault())));
    }

    /** Brings a fault about at once. */
    public void bring(Fault fault) {
        history.add(now, "", fault::toString);
        if (fault instanceof Fault.Kill f) {
            process(f.process()).kill();
        } else if (fault instanceof Fault.Restart f) {
            process(f.process()).kill();
            process(f.process()).start();
        } else if (fault instanceof Fault.Pause f) {
            process(f.process()).paused = true;
        } else if (fault instanceof Fault.Resume f) {
            process(f.process()).resume();
        } else if (fault instanceof Fault.StepClock f) {
            process(f.process()).wallOffset += f.micros();
        } else if (fault instanceof Fault.Drift f) {
            process(f.process()).drift(f.partsPerMillion());
        } else if (fault instanceof Fault.Link f) {
            links.set(f.from(), f.to(), f.fault());
        } else if (fault instanceof Fault.Heal f) {
            links.heal(f.from(), f.to());
        } else if (fault instanceof Fault.HealAll) {
            links.healAll();
        } else {
            throw new IllegalArgumentException("means nothing to pure cores: " + fault);
        }
    }

    /** Lets time pass up to {@code until}, handling all events on the way. */
    public void run(long until) {
        for (Event next = events.peek(); next != null && next.at <= until; next = events.peek()) {
            events.poll();
            now = next.at;
            handled++;
            next.what.run();
        }
        now = Math.max(now, until);
    }

    /** True time in microseconds since the world began. */
    public long now() {
        return now;
    }

    /** How many events have been handled so far. */
    public long handled() {
        return handled;
    }

    /** What has happened so far. */
    public EventHistory history() {
        return history;
    }

    /** Whether a process runs, be it paused or not. */
    public boolean alive(String name) {
        return process(name).core != null;
    }

    private Process process(String name) {
        Process process = processes.get(name);
        if (process == null) {
            throw new IllegalArgumentException("there is no process " + name);
        }
        return process;
    }

    private void at(long time, Runnable what) {
        events.add(new Event(time, numbers++, what));
    }

    /** One process over all its lives. */
    private final class Process implements ProtocolCore.Actions {
        private final String name;
        private final ProtocolCore.Maker maker;
        private final Deque<LongConsumer> waiting = new ArrayDeque<>();
        private ProtocolCore core;
        private int incarnation;
        private boolean paused;
        private long wallOffset;
        private double rate = 1;
        private long rateSince;
        private long steadyThen;

        Process(String name, ProtocolCore.Maker maker) {
            this.name = name;
            this.maker = maker;
        }

        void start() {
            incarnation++;
            paused = false;
            history.add(now, name, () -> "starts");
            core = maker.make(name, seed * 31 + name.hashCode() * 17L + incarnation, this);
            core.started(steady());
        }

        void kill() {
            core = null;
            paused = false;
            waiting.clear();
        }

        /** A process that stood still finds all that waited, in the order in which it came. */
        void resume() {
            paused = false;
            int its = incarnation;
            List<LongConsumer> late = new ArrayList<>(waiting);
            waiting.clear();
            for (LongConsumer event : late) {
                handle(its, event);
            }
        }

        /** Timers that are set already keep their time; a steady clock is true to a microsecond. */
        void drift(long partsPerMillion) {
            steadyThen = steady();
            rateSince = now;
            rate = 1 + partsPerMillion / MILLION;
        }

        private long steady() {
            return steadyThen + Math.round((now - rateSince) * rate);
        }

        /** An event of an earlier life is none of this one's. */
        private void handle(int its, LongConsumer event) {
            if (core == null || its != incarnation) {
                return;
            }
            if (paused) {
                waiting.add(event);
            } else {
                event.accept(steady());
            }
        }

        /** The network hands a message to whoever runs under the name when it comes. */
        private void deliver(String from, byte[] message) {
            handle(
                    incarnation,
                    t -> {
                        history.add(
                                now, name, () -> "hears " + message.length + " bytes of " + from);
                        core.received(t, from, message);
                    });
        }

        @Override
        public void send(String to, byte[] message) {
            byte[] copy = message.clone();
            for (long delay : links.arrivalDelaysUs(now, name, to, copy.length)) {
                at(
                        now + delay,
                        () -> {
                            Process there = processes.get(to);
                            if (there != null) {
                                there.deliver(name, copy);
                            }
                        });
            }
        }

        @Override
        public void timer(String token, long delay) {
            int its = incarnation;
            at(
                    now + Math.max(0, Math.round(delay / rate)),
                    () -> handle(its, t -> core.due(t, token)));
        }

        @Override
        public long wall() {
            return steady() + wallOffset;
        }

        @Override
        public void note(String text) {
            history.add(now, name, () -> text);
        }
    }
}
