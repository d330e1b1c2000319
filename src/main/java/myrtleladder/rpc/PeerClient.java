package myrtleladder.rpc;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.http.Headers;
import myrtleladder.http.HttpConnection;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.replication.Peers;
import myrtleladder.result.ResultException;
import myrtleladder.scheduler.Scheduler;

/** Calls between the fleet's processes over connections that are kept for the next call. */
public final class PeerClient implements Peers {
    static final String PATH = "/message";
    private static final int MOST_IDLE = 4;
    private static final byte[] NO_BYTES = {};

    private final EventLoop loop;
    private final Map<String, ArrayDeque<Call>> idle = new HashMap<>();

    /** Creates a client on a loop. */
    public PeerClient(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void call(String address, Message message, long timeoutMs, Consumer<Message> answer) {
        byte[] bytes = MessageCodec.encode(message);
        ArrayDeque<Call> free = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
        Call call = free.pollLast();
        while (call != null && !call.connection.ready()) {
            call = free.pollLast();
        }
        if (call == null) {
            call = new Call(address);
            call.begin(bytes, timeoutMs, answer);
            call.connect();
        } else {
            call.begin(bytes, timeoutMs, answer);
            call.send();
        }
    }

    /** A connection with one call on it at most. */
    private final class Call implements HttpConnection.Listener {
        private final String address;
        private HttpConnection connection;
        private byte[] request = NO_BYTES;
        private byte[] received = NO_BYTES;
        private int status;
        private Consumer<Message> answer;
        private Scheduler.Timer timer;

        Call(String address) {
            this.address = address;
        }

        void begin(byte[] bytes, long timeoutMs, Consumer<Message> consumer) {
            request = bytes;
            received = NO_BYTES;
            answer = consumer;
            timer = loop.schedule(timeoutMs, this::timedOut);
        }

        void connect() {
            int colon = address.lastIndexOf(':');
            connection =
                    HttpConnection.connect(
                            loop,
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1)),
                            this);
        }

        void send() {
            Headers headers = new Headers().add("Host", address);
            connection.send(new RequestHead("POST", PATH, headers), request);
        }

        private void timedOut() {
            connection.close();
            finish(null);
        }

        private void finish(Message message) {
            Consumer<Message> waiting = answer;
            answer = null;
            if (timer != null) {
                timer.cancel();
            }
            if (waiting != null) {
                waiting.accept(message);
            }
        }

        @Override
        public void connected() {
            if (answer == null) {
                connection.close();
            } else {
                send();
            }
        }

        @Override
        public void head(ResponseHead head) {
            status = head.status();
        }

        @Override
        public void body(byte[] bytes) {
            byte[] longer = java.util.Arrays.copyOf(received, received.length + bytes.length);
            System.arraycopy(bytes, 0, longer, received.length, bytes.length);
            received = longer;
        }

        @Override
        public void end(boolean reusable) {
            ArrayDeque<Call> free = idle.get(address);
            if (reusable && free.size() < MOST_IDLE) {
                free.addLast(this);
            } else if (reusable) {
                connection.close();
            }
            Message message = null;
            if (status == 200) {
                try {
                    message = MessageCodec.decode(received);
                } catch (ResultException e) {
                    message = null;
                }
            }
            finish(message);
        }

        @Override
        public void closed(boolean everConnected) {
            idle.get(address).remove(this);
            finish(null);
        }
    }
}
