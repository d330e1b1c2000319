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

/**
 * Injects faults at fault points of simulated processes, one after the other, whichever process
 * passes the point.
 *
 * @param <P> the fault points of a protocol
 */
public final class FaultPointInjector<P extends Enum<P>> {
    private static final long SECOND_US = 1_000_000;

    /** Longer than any timer of the protocols. */
    private static final long STALL_US = 12 * SECOND_US;

    /** How late a delayed message is. */
    private static final long MESSAGE_DELAY_US = 5 * SECOND_US;

    /** A process that is restarted comes back after this time. */
    private static final long RESTART_DELAY_US = SECOND_US;

    /** How often each point was passed since the last fault. */
    public final Map<P, Integer> passCounts = new HashMap<>();

    /** How many faults were injected. */
    public int injectedCount;

    private final Deque<ScheduledFault<P>> scheduled = new ArrayDeque<>();

    /** What is injected; the last four affect the next message of the process. */
    public enum Kind {
        CRASH,
        RESTART,
        STALL,
        MESSAGE_LOST,
        MESSAGE_DUPLICATED,
        MESSAGE_DELAYED,
        SEND_ERROR
    }

    /**
     * A fault at the n-th pass of a point.
     *
     * @param pass counted from the fault before, from 1
     */
    public record ScheduledFault<P>(P point, int pass, Kind kind) {}

    /** Ends a process in the middle of a step. */
    private static final class CrashedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CrashedException() {
            super(null, null, false, false);
        }
    }

    /** Schedules these faults and no others. */
    public void schedule(List<ScheduledFault<P>> faults) {
        scheduled.clear();
        scheduled.addAll(faults);
        passCounts.clear();
    }

    /** The steps and messages of one start of a process, with the faults injected into it. */
    public final class FaultyProcess {
        private final SimulatedNetwork network;
        private final String process;
        private final ProtocolCore.Actions actions;
        private final List<Runnable> sentWhileStalled = new ArrayList<>();
        private final Map<String, Runnable> delayedByToken = new HashMap<>();

        /** Affects the next message, null if none does. */
        private Kind nextMessageFault;

        private boolean isStalled;

        /** A process of a simulated network. */
        public FaultyProcess(
                SimulatedNetwork network, String process, ProtocolCore.Actions actions) {
            this.network = network;
            this.process = process;
            this.actions = actions;
        }

        /** Runs a step, in which the process may crash, or stall and send nothing more. */
        public void step(Runnable step) {
            try {
                sentWhileStalled.forEach(Runnable::run);
                sentWhileStalled.clear();
                step.run();
                if (isStalled) {
                    isStalled = false;
                    network.bring(new Fault.Pause(process));
                    bringAfter(STALL_US, new Fault.Resume(process));
                }
            } catch (CrashedException e) {
                network.bring(new Fault.Kill(process));
            }
        }

        private void bringAfter(long delayUs, Fault fault) {
            network.follow(new FaultPlan(List.of(new FaultPlan.Step(delayUs, fault))));
        }

        /** Sends a message, unless a fault affects it. */
        public void send(String to, byte[] datagram) {
            Kind fault = nextMessageFault;
            nextMessageFault = null;
            Runnable send = () -> actions.send(to, datagram);
            if (isStalled) {
                sentWhileStalled.add(send);
            } else if (fault == Kind.MESSAGE_DELAYED) {
                String token = "late " + delayedByToken.size() + " " + network.now();
                delayedByToken.put(token, send);
                actions.timer(token, MESSAGE_DELAY_US);
            } else if (fault == Kind.SEND_ERROR) {
                throw new UncheckedIOException(new IOException("the runtime can't send"));
            } else if (fault != Kind.MESSAGE_LOST) {
                send.run();
                if (fault == Kind.MESSAGE_DUPLICATED) {
                    send.run();
                }
            }
        }

        /** Whether a timer was that of a delayed message, which is sent now. */
        public boolean onTimer(String token) {
            Runnable send = delayedByToken.remove(token);
            if (send != null) {
                send.run();
            }
            return send != null;
        }

        /** The process passes a fault point. */
        public void onFaultPoint(P point) {
            int pass = passCounts.merge(point, 1, Integer::sum);
            ScheduledFault<P> next = scheduled.peek();
            if (next == null || point != next.point() || pass != next.pass()) {
                return;
            }
            scheduled.poll();
            passCounts.clear();
            injectedCount++;
            inject(next.kind());
        }

        private void inject(Kind kind) {
            switch (kind) {
                case CRASH -> throw new CrashedException();
                case RESTART -> {
                    bringAfter(RESTART_DELAY_US, new Fault.Restart(process));
                    throw new CrashedException();
                }
                case STALL -> {
                    isStalled = true;
                    nextMessageFault = null;
                }
                default -> {
                    isStalled = false;
                    nextMessageFault = kind;
                }
            }
        }
    }
}
