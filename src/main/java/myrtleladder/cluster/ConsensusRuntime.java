package myrtleladder.cluster;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import myrtleladder.consensus.ConsensusEnvironment;
import myrtleladder.consensus.ConsensusEvent;
import myrtleladder.consensus.ConsensusNode;
import myrtleladder.consensus.ConsensusSettings;
import myrtleladder.consensus.FaultPoint;
import myrtleladder.consensus.ProcessId;
import myrtleladder.consensus.StateMachine;
import myrtleladder.gossip.MemberUpdate;
import myrtleladder.maintenance.MaintenanceCoordinator;

/**
 * Runs the consensus of this process by the datagrams and on the event loop of its membership,
 * which tells which processes are present and at which addresses.
 *
 * <p>{@link #start} and {@link #status} may be called by any thread; all other methods only on the
 * event loop.
 */
public final class ConsensusRuntime implements ConsensusEnvironment {
    private static final System.Logger LOG = System.getLogger(ConsensusRuntime.class.getName());

    private final MembershipRuntime membership;
    private final EventLoop loop;
    private final Consumer<? super FaultPoint> faultPoints;
    private final ProcessId self;
    private final ConsensusNode node;

    /** Addresses of the members that are present, by name. */
    private final Map<String, String> addresses = new TreeMap<>();

    private boolean isMembershipUpdateScheduled;

    /** Null as long as no maintenance is attached. */
    private MaintenanceRuntime maintenance;

    private ConsensusRuntime(
            MembershipRuntime membership,
            ConsensusSettings settings,
            StateMachine stateMachine,
            Consumer<? super FaultPoint> faultPoints) {
        this.membership = membership;
        this.loop = membership.loop();
        this.faultPoints = faultPoints;
        this.self = process(membership.self());
        this.node =
                new ConsensusNode(
                        settings, self, new SecureRandom().nextLong(), stateMachine, this);
    }

    private static ProcessId process(MemberUpdate member) {
        return new ProcessId(member.name(), member.startId());
    }

    /**
     * Takes part in the consensus from now on.
     *
     * @param faultPoints gets each fault point that is passed; for the test bed
     */
    public static ConsensusRuntime start(
            MembershipRuntime membership,
            ConsensusSettings settings,
            StateMachine stateMachine,
            Consumer<? super FaultPoint> faultPoints) {
        ConsensusRuntime runtime =
                new ConsensusRuntime(membership, settings, stateMachine, faultPoints);
        runtime.loop.submit(runtime::startOnLoop).syncUninterruptibly();
        return runtime;
    }

    private void startOnLoop() {
        membership.attach(this);
        node.start(nowUs());
        updateMembership();
    }

    /** What this process knows of the consensus, read on the event loop. */
    public Future<ConsensusStatus> status() {
        return loop.submit(this::currentStatus);
    }

    private ConsensusStatus currentStatus() {
        return new ConsensusStatus(
                self,
                node.term(),
                node.leader(),
                node.hasQuorum(nowUs()),
                node.view(),
                node.lastApplied(),
                node.pendingCommands(),
                node.droppedDatagrams());
    }

    long nowUs() {
        return membership.nowUs();
    }

    EventLoop loop() {
        return loop;
    }

    /** This start of this process. */
    ProcessId self() {
        return self;
    }

    ConsensusNode node() {
        return node;
    }

    /** From now on maintenance gets its datagrams and learns of progress. */
    void attach(MaintenanceRuntime attached) {
        maintenance = attached;
        updateMembership();
    }

    /** Whether a datagram is meant for the consensus or for what is attached to it. */
    boolean accepts(byte[] datagram) {
        return ConsensusNode.isConsensusDatagram(datagram)
                || (maintenance != null && MaintenanceCoordinator.isMaintenanceDatagram(datagram));
    }

    /** A datagram that is accepted was received. */
    void onDatagram(byte[] datagram) {
        if (ConsensusNode.isConsensusDatagram(datagram)) {
            node.onDatagram(nowUs(), datagram);
            reportProgress();
        } else {
            maintenance.onDatagram(datagram);
        }
    }

    private void reportProgress() {
        if (maintenance != null) {
            maintenance.onConsensusProgress(nowUs());
        }
    }

    /** Sends to a process; a datagram to one that is not present is dropped. */
    void sendIfPresent(String name, byte[] datagram) {
        String address = addresses.get(name);
        if (address != null) {
            membership.send(address, datagram);
        }
    }

    /** The membership has changed: reads it when the membership has finished its step. */
    void onMembershipChanged() {
        if (!isMembershipUpdateScheduled) {
            isMembershipUpdateScheduled = true;
            loop.execute(this::updateMembership);
        }
    }

    private void updateMembership() {
        isMembershipUpdateScheduled = false;
        Map<String, Long> present = new TreeMap<>();
        Set<ProcessId> presentProcesses = new HashSet<>();
        addresses.clear();
        for (MemberUpdate member : membership.members()) {
            if (member.state().isPresent()) {
                present.put(member.name(), member.startId());
                presentProcesses.add(process(member));
                addresses.put(member.name(), member.address());
            }
        }
        node.onMembershipObserved(nowUs(), present);
        if (maintenance != null) {
            maintenance.onMembershipChanged(presentProcesses);
            reportProgress();
        }
    }

    /**
     * Sends a datagram to a process.
     *
     * @throws UncheckedIOException if it is not present
     */
    @Override
    public void send(String name, byte[] datagram) {
        String address = addresses.get(name);
        if (address == null) {
            throw new UncheckedIOException(new IOException(name + " is not there"));
        }
        membership.send(address, datagram);
    }

    @Override
    public void scheduleTimer(String token, long delayUs) {
        loop.schedule(() -> onTimer(token), delayUs, TimeUnit.MICROSECONDS);
    }

    private void onTimer(String token) {
        node.onTimer(nowUs(), token);
        reportProgress();
    }

    @Override
    public long wallClockUs() {
        return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    }

    /** Logs an event; a new epoch, and the loss of the majority, as a warning. */
    @Override
    public void onEvent(ConsensusEvent event) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("epoch", event.view().epoch());
        fields.put("view", event.view().number());
        fields.put("members", event.view().startIds().size());
        fields.put("why", event.reason());
        boolean isWarning =
                event.kind() == ConsensusEvent.Kind.CUT_OFF
                        || event.kind() == ConsensusEvent.Kind.FOUNDED;
        LOG.log(
                isWarning ? System.Logger.Level.WARNING : System.Logger.Level.INFO,
                "agreement " + event.kind() + ": " + event.reason(),
                fields);
    }

    @Override
    public void onFaultPoint(FaultPoint point) {
        faultPoints.accept(point);
    }
}
