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
import myrtleladder.consensus.AgreeSettings;
import myrtleladder.consensus.Agreement;
import myrtleladder.consensus.Life;
import myrtleladder.consensus.Machine;
import myrtleladder.consensus.Note;
import myrtleladder.consensus.Point;
import myrtleladder.gossip.MemberUpdate;
import myrtleladder.maintenance.Work;

/**
 * Runs the consensus of this process by the datagrams and on the event loop of its membership,
 * which tells which processes are present and at which addresses.
 *
 * <p>{@link #start} and {@link #status} may be called by any thread; all other methods only on the
 * event loop.
 */
public final class ConsensusRuntime implements Agreement.Out {
    private static final System.Logger LOG = System.getLogger(ConsensusRuntime.class.getName());

    private final MembershipRuntime membership;
    private final EventLoop loop;
    private final Consumer<? super Point> faultPoints;
    private final Life self;
    private final Agreement node;

    /** Addresses of the members that are present, by name. */
    private final Map<String, String> addresses = new TreeMap<>();

    private boolean isMembershipUpdateScheduled;

    /** Null as long as no maintenance is attached. */
    private MaintenanceRuntime maintenance;

    private ConsensusRuntime(
            MembershipRuntime membership,
            AgreeSettings settings,
            Machine stateMachine,
            Consumer<? super Point> faultPoints) {
        this.membership = membership;
        this.loop = membership.loop();
        this.faultPoints = faultPoints;
        this.self = process(membership.self());
        this.node =
                new Agreement(settings, self, new SecureRandom().nextLong(), stateMachine, this);
    }

    private static Life process(MemberUpdate member) {
        return new Life(member.name(), member.startId());
    }

    /**
     * Takes part in the consensus from now on.
     *
     * @param faultPoints gets each fault point that is passed; for the test bed
     */
    public static ConsensusRuntime start(
            MembershipRuntime membership,
            AgreeSettings settings,
            Machine stateMachine,
            Consumer<? super Point> faultPoints) {
        ConsensusRuntime runtime =
                new ConsensusRuntime(membership, settings, stateMachine, faultPoints);
        runtime.loop.submit(runtime::startOnLoop).syncUninterruptibly();
        return runtime;
    }

    private void startOnLoop() {
        membership.attach(this);
        node.started(nowUs());
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
                node.decides(nowUs()),
                node.view(),
                node.applied(),
                node.waiting(),
                node.refused());
    }

    long nowUs() {
        return membership.nowUs();
    }

    EventLoop loop() {
        return loop;
    }

    /** This start of this process. */
    Life self() {
        return self;
    }

    Agreement node() {
        return node;
    }

    /** From now on maintenance gets its datagrams and learns of progress. */
    void attach(MaintenanceRuntime attached) {
        maintenance = attached;
        updateMembership();
    }

    /** Whether a datagram is meant for the consensus or for what is attached to it. */
    boolean accepts(byte[] datagram) {
        return Agreement.isOurs(datagram) || maintenance != null && Work.isOurs(datagram);
    }

    /** A datagram that is accepted was received. */
    void onDatagram(byte[] datagram) {
        if (Agreement.isOurs(datagram)) {
            node.received(nowUs(), datagram);
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
        Set<Life> presentProcesses = new HashSet<>();
        addresses.clear();
        for (MemberUpdate member : membership.members()) {
            if (member.state().isPresent()) {
                present.put(member.name(), member.startId());
                presentProcesses.add(process(member));
                addresses.put(member.name(), member.address());
            }
        }
        node.present(nowUs(), present);
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
    public void timer(String token, long delayUs) {
        loop.schedule(() -> onTimer(token), delayUs, TimeUnit.MICROSECONDS);
    }

    private void onTimer(String token) {
        node.due(nowUs(), token);
        reportProgress();
    }

    @Override
    public long wall() {
        return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    }

    /** Logs an event; a new epoch, and the loss of the majority, as a warning. */
    @Override
    public void note(Note event) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("epoch", event.view().epoch());
        fields.put("view", event.view().number());
        fields.put("members", event.view().lives().size());
        fields.put("why", event.why());
        boolean isWarning = event.kind() == Note.Kind.CUT_OFF || event.kind() == Note.Kind.FOUNDED;
        LOG.log(
                isWarning ? System.Logger.Level.WARNING : System.Logger.Level.INFO,
                "agreement " + event.kind() + ": " + event.why(),
                fields);
    }

    @Override
    public void point(Point point) {
        faultPoints.accept(point);
    }
}
