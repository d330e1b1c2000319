package myrtleladder.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.StoredState;
import myrtleladder.scheduler.Scheduler;

/**
 * Control nodes on one manual clock, with disks, links and a client that remembers what was
 * acknowledged.
 */
final class VirtualCluster {
    final ManualScheduler clock = new ManualScheduler();
    final SplittableRandom random;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final Set<String> cuts = new HashSet<>();
    final List<String> acknowledged = new ArrayList<>();
    final Map<Long, String> primaryOfEpoch = new HashMap<>();
    final List<String> faults = new ArrayList<>();
    private final List<Member> seeds = new ArrayList<>();
    private final int tolerated;
    private int orders;
    private int stores;

    VirtualCluster(long seed, int size, int seedCount, int tolerated) {
        this.random = new SplittableRandom(seed);
        this.tolerated = tolerated;
        for (int i = 0; i < seedCount; i++) {
            seeds.add(Member.of(address(i), "c" + i + ":1", ""));
        }
        for (int i = 0; i < size; i++) {
            Node node = new Node(address(i), "c" + i + ":1");
            nodes.put(node.address, node);
            node.start(true);
        }
    }

    static String address(int i) {
        return "n" + i + ":1";
    }

    Node node(int i) {
        return nodes.get(address(i));
    }

    /** A state on its way to the disk. */
    private record Save(byte[] bytes, Consumer<Boolean> done) {}

    /** A process with its disk. */
    final class Node implements Peers, Storage, Replica.Listener {
        final String address;
        final String control;
        Replica replica;
        byte[] disk;
        int incarnation;
        boolean up;
        long frozenUntil;
        long syncMs = 5;
        boolean diskFull;
        private long savedBy;
        private final ArrayDeque<Save> saves = new ArrayDeque<>();

        Node(String address, String control) {
            this.address = address;
            this.control = control;
        }

        void start(boolean bootstrap) {
            incarnation++;
            savedBy = 0;
            saves.clear();
            up = true;
            int mine = incarnation;
            StoredState stored = disk == null ? null : (StoredState) MessageCodec.decode(disk);
            ReplicaOptions options =
                    new ReplicaOptions(
                            Member.of(address, control, ""), tolerated, bootstrap, seeds, 4_000);
            replica =
                    new Replica(
                            options,
                            stored,
                            "store-" + stores++,
                            new Timers(this, mine),
                            this,
                            this,
                            this,
                            List::of);
            replica.start();
        }

        void kill() {
            up = false;
            incarnation++;
        }

        void wipe() {
            kill();
            disk = null;
        }

        @Override
        public void save(StoredState state, Consumer<Boolean> done) {
            byte[] bytes = MessageCodec.encode(state);
            int mine = incarnation;
            // One save after the other, as the disk's thread does them; each event completes the
            // oldest.
            saves.add(new Save(bytes, done));
            savedBy = Math.max(savedBy, clock.now()) + syncMs + random.nextInt(3);
            clock.schedule(savedBy - clock.now(), () -> after(mine, this::completeOldest));
        }

        private void completeOldest() {
            Save save = saves.poll();
            if (!diskFull) {
                disk = save.bytes();
            }
            save.done().accept(!diskFull);
        }

        private void after(int mine, Runnable task) {
            if (!up || incarnation != mine) {
                return;
            }
            if (clock.now() < frozenUntil) {
                clock.schedule(frozenUntil - clock.now() + 1, () -> after(mine, task));
                return;
            }
            task.run();
        }

        @Override
        public void call(String to, Message message, long timeoutMs, Consumer<Message> answer) {
            byte[] bytes = MessageCodec.encode(message);
            int mine = incarnation;
            boolean[] told = {false};
            Consumer<Message> once =
                    reply ->
                            after(
                                    mine,
                                    () -> {
                                        if (!told[0]) {
                                            told[0] = true;
                                            answer.accept(reply);
                                        }
                                    });
            clock.schedule(timeoutMs, () -> once.accept(null));
            carry(
                    address,
                    to,
                    () -> {
                        Node peer = nodes.get(to);
                        if (peer == null || !peer.up) {
                            carry(to, address, () -> once.accept(null));
                            return;
                        }
                        int theirs = peer.incarnation;
                        peer.after(
                                theirs,
                                () ->
                                        peer.replica.receive(
                                                MessageCodec.decode(bytes),
                                                reply -> {
                                                    if (reply != null) {
                                                        byte[] back = MessageCodec.encode(reply);
                                                        carry(
                                                                to,
                                                                address,
                                                                () ->
                                                                        once.accept(
                                                                                MessageCodec.decode(
                                                                                        back)));
                                                    }
                                                }));
                    });
        }

        @Override
        public void becamePrimary(Collection<InstanceRecord> instances) {
            String before = primaryOfEpoch.putIfAbsent(replica.view().epoch, address);
            if (before != null && !before.equals(address)) {
                faults.add("epoch " + replica.view().epoch + " has " + before + " and " + address);
            }
        }

        @Override
        public void inherit(Collection<InstanceRecord> instances) {
            // there are no upstreams here
        }

        @Override
        public void lostPrimacy() {
            // the client asks for the state itself
        }
    }

    /** Timers that end with the process and wait while it is frozen. */
    private final class Timers implements Scheduler {
        private final Node node;
        private final int incarnation;

        Timers(Node node, int incarnation) {
            this.node = node;
            this.incarnation = incarnation;
        }

        @Override
        public long now() {
            return clock.now();
        }

        @Override
        public Timer schedule(long delay, Runnable task) {
            return clock.schedule(delay, () -> node.after(incarnation, task));
        }
    }

    private void carry(String from, String to, Runnable arrival) {
        clock.schedule(
                1 + random.nextInt(4),
                () -> {
                    if (!cuts.contains(from + ">" + to)) {
                        arrival.run();
                    }
                });
    }

    void cut(String address) {
        for (String other : nodes.keySet()) {
            if (!other.equals(address)) {
                cuts.add(address + ">" + other);
                cuts.add(other + ">" + address);
            }
        }
    }

    Node primary() {
        Node found = null;
        for (Node node : nodes.values()) {
            boolean leads =
                    node.up
                            && clock.now() >= node.frozenUntil
                            && node.replica.state() == Replica.State.PRIMARY
                            && node.replica.recentlyConfirmed();
            if (leads && (found == null || node.replica.epoch() > found.replica.epoch())) {
                found = node;
            }
        }
        return found;
    }

    /** Sends a change to any node that takes itself for primary. */
    void order() {
        List<Node> leaders =
                nodes.values().stream()
                        .filter(
                                n ->
                                        n.up
                                                && n.replica.state() == Replica.State.PRIMARY
                                                && !n.replica.busy())
                        .toList();
        if (leaders.isEmpty()) {
            return;
        }
        Node node = leaders.get(random.nextInt(leaders.size()));
        String order = "order-" + orders++;
        int seen = acknowledged.size();
        node.replica.confirm(
                ok -> {
                    if (!ok || node.replica.busy()) {
                        return;
                    }
                    long next = node.replica.snapshot().generation + 1;
                    List<String> known = node.replica.snapshot().changeDigests;
                    if (!known.containsAll(acknowledged.subList(0, seen))) {
                        faults.add(
                                node.address
                                        + " confirmed without "
                                        + acknowledged.subList(0, seen));
                    }
                    node.replica.submit(
                            new byte[] {(byte) next},
                            next,
                            order,
                            taken -> {
                                if (taken) {
                                    acknowledged.add(order);
                                }
                            });
                });
    }

    /** The faults found, after all is mended and time has passed. */
    List<String> settle() {
        cuts.clear();
        for (Node node : nodes.values()) {
            node.frozenUntil = 0;
            node.diskFull = false;
            node.syncMs = 5;
            if (!node.up) {
                node.start(false);
            }
        }
        clock.run(15_000);
        Node leader = primary();
        if (leader == null) {
            faults.add("no primary after the faults");
        } else if (!leader.replica.snapshot().changeDigests.containsAll(acknowledged)) {
            List<String> lost = new ArrayList<>(acknowledged);
            lost.removeAll(leader.replica.snapshot().changeDigests);
            faults.add("lost " + lost);
        }
        return faults;
    }
}
