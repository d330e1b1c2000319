package myrtleladder.cluster;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
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
 * A process's agreement, over the datagrams and on the event loop of its membership: what is seen
 * there is who is there, and names have the addresses that their members tell.
 */
public final class ConsensusRuntime implements ConsensusEnvironment {
    private static final System.Logger LOG = System.getLogger(ConsensusRuntime.class.getName());

    private final MembershipRuntime members;
    private final EventLoop loop;
    private final Consumer<? super FaultPoint> points;
    private final ProcessId me;
    private final ConsensusNode agreement;
    private final Map<String, String> addresses = new TreeMap<>();
    private boolean lookDue;

    /** What is built upon the agreement; null if nothing is. */
    private MaintenanceRuntime guest;

    private ConsensusRuntime(
            MembershipRuntime members,
            ConsensusSettings settings,
            StateMachine machine,
            Consumer<? super FaultPoint> points) {
        this.members = members;
        this.loop = members.loop();
        this.points = points;
        MemberUpdate self = members.self();
        this.me = new ProcessId(self.name(), self.startId());
        this.agreement =
                new ConsensusNode(settings, me, new SecureRandom().nextLong(), machine, this);
    }

    /**
     * Takes part from now on. {@code points} hears of each point of fault that is passed; for the
     * lab.
     */
    public static ConsensusRuntime start(
            MembershipRuntime members,
            ConsensusSettings settings,
            StateMachine machine,
            Consumer<? super FaultPoint> points) {
        ConsensusRuntime carrier = new ConsensusRuntime(members, settings, machine, points);
        carrier.loop
                .submit(
                        () -> {
                            members.host(carrier);
                            carrier.agreement.start(carrier.now());
                            carrier.lookAround();
                        })
                .syncUninterruptibly();
        return carrier;
    }

    /** What it holds, as of soon. */
    public Future<ConsensusStatus> look() {
        return loop.submit(this::held);
    }

    private ConsensusStatus held() {
        return new ConsensusStatus(
                me,
                agreement.term(),
                agreement.leader(),
                agreement.hasQuorum(now()),
                agreement.view(),
                agreement.lastApplied(),
                agreement.pendingCommands(),
                agreement.droppedDatagrams());
    }

    long now() {
        return members.now();
    }

    EventLoop loop() {
        return loop;
    }

    ProcessId me() {
        return me;
    }

    ConsensusNode core() {
        return agreement;
    }

    /**
     * Has the work on machines hear its datagrams and what the agreement does; on the event loop.
     */
    void host(MaintenanceRuntime work) {
        guest = work;
        lookAround();
    }

    private void after() {
        if (guest != null) {
            guest.look(now());
        }
    }

    /** Whether a datagram is meant for an agreement, or for what is built upon it. */
    boolean takes(byte[] datagram) {
        return ConsensusNode.isConsensusDatagram(datagram)
                || guest != null && MaintenanceCoordinator.isMaintenanceDatagram(datagram);
    }

    /** A datagram has come that is. */
    void received(byte[] datagram) {
        if (ConsensusNode.isConsensusDatagram(datagram)) {
            agreement.onDatagram(now(), datagram);
            after();
        } else {
            guest.received(datagram);
        }
    }

    /** Sends to a process, if it is there. */
    void sendIfThere(String name, byte[] datagram) {
        String address = addresses.get(name);
        if (address != null) {
            members.send(address, datagram);
        }
    }

    /**
     * Something has changed in the picture; looked at once, when the membership is done with it.
     */
    void changed() {
        if (!lookDue) {
            lookDue = true;
            loop.execute(this::lookAround);
        }
    }

    private void lookAround() {
        lookDue = false;
        Map<String, Long> there = new TreeMap<>();
        addresses.clear();
        for (MemberUpdate c : members.claims()) {
            if (c.state().isPresent()) {
                there.put(c.name(), c.startId());
                addresses.put(c.name(), c.address());
            }
        }
        agreement.onMembershipObserved(now(), there);
        if (guest != null) {
            guest.present(
                    there.entrySet().stream()
                            .map(l -> new ProcessId(l.getKey(), l.getValue()))
                            .collect(Collectors.toSet()));
            after();
        }
    }

    @Override
    public void send(String name, byte[] datagram) {
        String address = addresses.get(name);
        if (address == null) {
            throw new UncheckedIOException(new IOException(name + " is not there"));
        }
        members.send(address, datagram);
    }

    @Override
    public void scheduleTimer(String timer, long delayUs) {
        loop.schedule(
                () -> {
                    agreement.onTimer(now(), timer);
                    after();
                },
                delayUs,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public long wallClockUs() {
        return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    }

    @Override
    public void onEvent(ConsensusEvent event) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("epoch", event.view().epoch());
        fields.put("view", event.view().number());
        fields.put("members", event.view().startIds().size());
        fields.put("why", event.reason());
        LOG.log(
                event.kind() == ConsensusEvent.Kind.CUT_OFF
                                || event.kind() == ConsensusEvent.Kind.FOUNDED
                        ? System.Logger.Level.WARNING
                        : System.Logger.Level.INFO,
                "agreement " + event.kind() + ": " + event.reason(),
                fields);
    }

    @Override
    public void onFaultPoint(FaultPoint point) {
        points.accept(point);
    }
}
