package myrtleladder.controlplane.model;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import myrtleladder.controlplane.ControlPlane;
import myrtleladder.io.RequestHead;
import myrtleladder.io.Scheduler;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.StoredState;
import myrtleladder.replication.Peers;
import myrtleladder.replication.Replica;
import myrtleladder.replication.ReplicaOptions;
import myrtleladder.replication.Storage;

/** A control node's process, the code under test, on a machine with a disk and links. */
final class ModelNode implements Peers, Storage, Replica.Listener {
    private static final long HEARTBEAT_OF_UPSTREAMS = 1_200;
    private static final long LEAVES_WITHIN = 4_000;
    private static final long LAST_ANSWERS = 150;

    final String address;
    final String control;
    private final ControlModel model;
    private final ModelDisk disk;
    private Replica replica;
    private ControlPlane plane;
    private int incarnation;
    private int ordinalOfStart;
    private boolean up;
    private boolean powered = true;
    private long frozenUntil;

    ModelNode(ControlModel model, int number) {
        this.model = model;
        this.address = "n" + number + ":1";
        this.control = "c" + number + ":1";
        this.disk =
                new ModelDisk(model.clock, model.random, model.without(Guard.SYNC_BEFORE_ANSWER));
    }

    // ---- The process
    // -------------------------------------------------------------------------------

    void start(boolean bootstrap) {
        incarnation++;
        ordinalOfStart++;
        up = true;
        powered = true;
        Scheduler timers = new ProcessTimers(this, incarnation);
        plane =
                new ControlPlane(
                        timers, this, HEARTBEAT_OF_UPSTREAMS, 0.1, 1_000, Map.of("z", "r"));
        boolean knowsItself = model.without(Guard.STORE_IDENTITY);
        replica =
                new Replica(
                        new ReplicaOptions(
                                Member.of(address, control, ""),
                                model.tolerated,
                                bootstrap || knowsItself && model.isSeed(address),
                                model.seeds(),
                                model.catchUpMs()),
                        disk.load(),
                        address + "/" + ordinalOfStart,
                        timers,
                        this,
                        this,
                        this,
                        plane::instances);
        plane.attach(replica);
        replica.start();
    }

    boolean up() {
        return up;
    }

    boolean running() {
        return up && model.clock.now() >= frozenUntil;
    }

    Replica replica() {
        return replica;
    }

    ModelDisk disk() {
        return disk;
    }

    boolean leads() {
        return running()
                && replica.state() == Replica.State.PRIMARY
                && replica.isRecentlyConfirmed();
    }

    /** The process ends; its machine answers that nobody listens. */
    void kill() {
        up = false;
        incarnation++;
        frozenUntil = 0;
        disk.interrupt();
    }

    /** The machine is without power and says nothing. */
    void powerOff() {
        kill();
        powered = false;
    }

    void wipe() {
        powerOff();
        disk.wipe();
    }

    void freeze(long span) {
        frozenUntil = model.clock.now() + span;
    }

    void thaw() {
        frozenUntil = 0;
    }

    /** SIGTERM: the process ends by itself, and {@code ended} is run. */
    void terminate(Runnable ended) {
        if (!up) {
            ended.run();
            return;
        }
        int mine = incarnation;
        Runnable end =
                () -> {
                    if (incarnation == mine && up) {
                        kill();
                        ended.run();
                    }
                };
        if (model.without(Guard.LEAVE_BEFORE_THE_END)) {
            replica.resign("asked to end");
            model.clock.schedule(2 * LAST_ANSWERS, end);
        } else {
            replica.leave(LEAVES_WITHIN, released -> model.clock.schedule(LAST_ANSWERS, end));
        }
    }

    /** Runs a task of this process, after it thawed, unless it has ended by then. */
    void run(int mine, Runnable task) {
        if (!up || incarnation != mine) {
            return;
        }
        if (model.clock.now() < frozenUntil) {
            // what waited is run in any order
            long wait = frozenUntil - model.clock.now() + 1 + model.random.nextInt(3);
            model.clock.schedule(wait, () -> run(mine, task));
            return;
        }
        task.run();
    }

    private boolean gone(int mine) {
        return !up || incarnation != mine;
    }

    /** Timers that end with the process and wait while it is frozen. */
    private record ProcessTimers(ModelNode node, int incarnation) implements Scheduler {
        @Override
        public long now() {
            return node.model.clock.now();
        }

        @Override
        public Timer schedule(long delay, Runnable task) {
            return node.model.clock.schedule(delay, () -> node.run(incarnation, task));
        }
    }

    // ---- The disk
    // ----------------------------------------------------------------------------------

    @Override
    public void save(StoredState state, Consumer<Boolean> done) {
        int mine = incarnation;
        model.point(this);
        if (gone(mine)) {
            return;
        }
        disk.save(
                state,
                () -> up && incarnation == mine,
                ok ->
                        run(
                                mine,
                                () -> {
                                    model.point(this);
                                    if (!gone(mine)) {
                                        done.accept(ok);
                                    }
                                }));
    }

    // ---- Calls of other nodes
    // ----------------------------------------------------------------------

    @Override
    public void call(String to, Message message, long timeoutMs, Consumer<Message> answer) {
        int mine = incarnation;
        byte[] bytes = MessageCodec.encode(message);
        OneAnswer once = new OneAnswer(reply -> run(mine, () -> answer.accept(reply)));
        model.clock.schedule(timeoutMs, () -> once.accept(null));
        Message forged = model.forger().answerInstead(this, to, message);
        if (forged != null) {
            model.network.carry(address, address, () -> once.accept(forged));
            return;
        }
        model.point(this);
        if (gone(mine)) {
            return;
        }
        model.network.carry(address, to, () -> model.arrive(to, bytes, address, once::accept));
        model.point(this);
    }

    /** A message has arrived at this machine. */
    void arrive(byte[] bytes, String from, Consumer<Message> back) {
        if (!powered) {
            return;
        }
        if (!up) {
            model.network.carry(address, from, () -> back.accept(null));
            return;
        }
        int mine = incarnation;
        run(
                mine,
                () -> {
                    model.point(this);
                    if (gone(mine)) {
                        return;
                    }
                    Message message = model.forger().received(this, MessageCodec.decode(bytes));
                    plane.receive(message, reply -> answer(reply, from, back));
                });
    }

    private void answer(Message reply, String from, Consumer<Message> back) {
        model.point(this);
        if (!up) {
            return;
        }
        byte[] bytes = reply == null ? null : MessageCodec.encode(reply);
        model.network.carry(
                address,
                from,
                () -> back.accept(bytes == null ? null : MessageCodec.decode(bytes)));
    }

    /** Hands over the first answer alone. */
    static final class OneAnswer {
        private final Consumer<Message> consumer;
        private boolean told;

        OneAnswer(Consumer<Message> consumer) {
            this.consumer = consumer;
        }

        void accept(Message message) {
            if (!told) {
                told = true;
                consumer.accept(message);
            }
        }
    }

    /** A caller from outside; nothing is answered without power. */
    void handle(RequestHead head, byte[] body, Consumer<ModelAnswer> answer) {
        if (!powered) {
            return;
        }
        if (!up) {
            answer.accept(new ModelAnswer(0, "", new byte[0]));
            return;
        }
        int mine = incarnation;
        run(
                mine,
                () ->
                        plane.handle(
                                new ModelCall(
                                        head,
                                        body,
                                        reply -> {
                                            if (up && incarnation == mine) {
                                                answer.accept(reply);
                                            }
                                        })));
    }

    // ---- What the replica tells
    // --------------------------------------------------------------------

    @Override
    public void onPrimacyGained(Collection<InstanceRecord> instances) {
        model.history.primary(replica.view().epoch, address);
        plane.onPrimacyGained(instances);
    }

    @Override
    public void onPrimacyLost() {
        plane.onPrimacyLost();
    }

    @Override
    public void onInstancesReceived(Collection<InstanceRecord> instances) {
        plane.onInstancesReceived(instances);
    }

    @Override
    public String toString() {
        return address + (up ? "" : " down") + " " + replica.state() + " " + replica.view();
    }

    List<Member> group() {
        return replica.view() == null ? List.of() : replica.view().group;
    }
}
