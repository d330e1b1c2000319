package myrtleladder.replication;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.MessageCodec;

/**
 * The network between virtual nodes. Each message takes 1 to 4 ms and is lost on a partitioned
 * link.
 */
final class VirtualNetwork {
    private static final int MINIMUM_DELAY_MS = 1;
    private static final int DELAY_JITTER_MS = 4;

    private final ManualScheduler clock;
    private final SplittableRandom random;
    private final Function<String, VirtualNode> nodeAt;
    private final Set<Link> partitionedLinks = new HashSet<>();
    private BiConsumer<VirtualNode, Message> onCall = (caller, request) -> {};

    /** One direction between two addresses. */
    private record Link(String from, String to) {}

    /** A request; its response, or null for none, is delivered to the caller once. */
    private static final class Call {
        private final VirtualNode caller;
        private final int callerIncarnation;
        private final Consumer<Message> answer;
        private boolean completed;

        Call(VirtualNode caller, Consumer<Message> answer) {
            this.caller = caller;
            this.callerIncarnation = caller.incarnation();
            this.answer = answer;
        }

        void complete(Message reply) {
            caller.execute(
                    callerIncarnation,
                    () -> {
                        if (!completed) {
                            completed = true;
                            answer.accept(reply);
                        }
                    });
        }
    }

    VirtualNetwork(
            ManualScheduler clock, SplittableRandom random, Function<String, VirtualNode> nodeAt) {
        this.clock = clock;
        this.random = random;
        this.nodeAt = nodeAt;
    }

    /** Sets the observer that is called with each request when it is sent. */
    void onCall(BiConsumer<VirtualNode, Message> observer) {
        onCall = observer;
    }

    /** Sends a request; see {@link PeerTransport#call}. */
    void call(
            VirtualNode caller,
            String receiver,
            Message request,
            long timeoutMs,
            Consumer<Message> answer) {
        onCall.accept(caller, request);
        byte[] bytes = MessageCodec.encode(request);
        Call call = new Call(caller, answer);
        clock.schedule(timeoutMs, () -> call.complete(null));
        transmit(caller.address, receiver, () -> deliver(call, receiver, bytes));
    }

    private void deliver(Call call, String receiver, byte[] request) {
        VirtualNode node = nodeAt.apply(receiver);
        if (node == null || !node.isRunning()) {
            transmit(receiver, call.caller.address, () -> call.complete(null));
            return;
        }
        node.execute(
                node.incarnation(),
                () ->
                        node.replica.receive(
                                MessageCodec.decode(request),
                                reply -> sendReply(call, receiver, reply)));
    }

    private void sendReply(Call call, String receiver, Message reply) {
        if (reply == null) {
            return;
        }
        byte[] bytes = MessageCodec.encode(reply);
        transmit(receiver, call.caller.address, () -> call.complete(MessageCodec.decode(bytes)));
    }

    private void transmit(String from, String to, Runnable onArrival) {
        clock.schedule(
                MINIMUM_DELAY_MS + random.nextInt(DELAY_JITTER_MS),
                () -> {
                    if (!partitionedLinks.contains(new Link(from, to))) {
                        onArrival.run();
                    }
                });
    }

    /** Drops all messages between two nodes from now on, including those in flight. */
    void partition(String one, String other) {
        partitionedLinks.add(new Link(one, other));
        partitionedLinks.add(new Link(other, one));
    }

    /** Ends all partitions. */
    void heal() {
        partitionedLinks.clear();
    }
}
