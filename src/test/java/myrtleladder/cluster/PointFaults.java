package myrtleladder.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.simulation.ProtocolCore;
import myrtleladder.testbed.simulation.SimulatedNetwork;

/** Faults at numbered points of processes in virtual time, one after the other, whoever passes. */
public final class PointFaults<P extends Enum<P>> {
    private static final long SECOND = 1_000_000;

    /** Longer than any timer of the cores. */
    private static final long STAND = 12 * SECOND;

    /** How often each point was passed since the last fault. */
    public final Map<P, Integer> passes = new HashMap<>();

    /** How many faults have come. */
    public int sprung;

    private final Deque<At<P>> armed = new ArrayDeque<>();

    /** What goes wrong; the last four with the next message. */
    public enum Kind {
        CRASH,
        RESTART,
        STAND,
        LOST,
        DOUBLED,
        LATE,
        ERROR
    }

    /** A fault at the n-th pass of a point. */
    public record At<P>(P point, int pass, Kind kind) {}

    /** Ends a process in the middle of a step. */
    private static final class Crashed extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Crashed() {
            super(null, null, false, false);
        }
    }

    /**
     * These come, one after the other, and no others; the passes of each count from the one before.
     */
    public void arm(List<At<P>> ats) {
        armed.clear();
        armed.addAll(ats);
        passes.clear();
    }

    /** One life's steps and messages, with what goes wrong with them. */
    public final class Post {
        private final SimulatedNetwork world;
        private final String process;
        private final ProtocolCore.Actions actions;
        private final List<Runnable> held = new ArrayList<>();
        private final Map<String, Runnable> late = new HashMap<>();
        private Kind next;
        private boolean standing;

        /** That of a process of a world. */
        public Post(SimulatedNetwork world, String process, ProtocolCore.Actions actions) {
            this.world = world;
            this.process = process;
            this.actions = actions;
        }

        /** Takes a step, in which the process may end, or stand still and send nothing more. */
        public void step(Runnable what) {
            try {
                held.forEach(Runnable::run);
                held.clear();
                what.run();
                if (standing) {
                    standing = false;
                    world.bring(new Fault.Pause(process));
                    world.follow(
                            new FaultPlan(
                                    List.of(new FaultPlan.Step(STAND, new Fault.Resume(process)))));
                }
            } catch (Crashed e) {
                world.bring(new Fault.Kill(process));
            }
        }

        /** Sends, if nothing goes wrong. */
        public void send(String to, byte[] datagram) {
            Kind kind = next;
            next = null;
            Runnable send = () -> actions.send(to, datagram);
            if (standing) {
                held.add(send);
            } else if (kind == Kind.LATE) {
                String token = "late " + late.size() + " " + world.now();
                late.put(token, send);
                actions.timer(token, 5 * SECOND);
            } else if (kind == Kind.ERROR) {
                throw new UncheckedIOException(new IOException("the carrier can't"));
            } else if (kind != Kind.LOST) {
                send.run();
                if (kind == Kind.DOUBLED) {
                    send.run();
                }
            }
        }

        /** Whether a timer was that of a message that is late, which goes now. */
        public boolean due(String token) {
            Runnable send = late.remove(token);
            if (send != null) {
                send.run();
            }
            return send != null;
        }

        /** A point is passed. */
        public void point(P point) {
            int pass = passes.merge(point, 1, Integer::sum);
            At<P> at = armed.peek();
            if (at == null || point != at.point() || pass != at.pass()) {
                return;
            }
            armed.poll();
            passes.clear();
            sprung++;
            if (at.kind() == Kind.RESTART) {
                world.follow(
                        new FaultPlan(
                                List.of(new FaultPlan.Step(SECOND, new Fault.Restart(process)))));
            }
            if (at.kind() == Kind.RESTART || at.kind() == Kind.CRASH) {
                throw new Crashed();
            }
            standing = at.kind() == Kind.STAND;
            next = standing ? null : at.kind();
        }
    }
}
