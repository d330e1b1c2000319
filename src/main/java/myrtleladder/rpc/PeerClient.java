package myrtleladder.rpc;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.http.Headers;
import myrtleladder.http.HttpConnection;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.replication.PeerTransport;
import myrtleladder.result.ResultException;
import myrtleladder.scheduler.Scheduler;

/**
 * Sends messages to other processes of the fleet over pooled connections, one call in flight on
 * each. A call that fails in any way, also by timeout, gives a null response; calls are not
 * retried.
 *
 * <p>Threading: confined to the event loop.
 */
public final class PeerClient implements PeerTransport {
    /** Request target of all messages. */
    private static final String PATH = "/message";

    /** Most idle connections to one address; further ones are closed. */
    private static final int MAX_IDLE_PER_ADDRESS = 4;

    private static final int STATUS_OK = 200;
    private static final byte[] NO_BYTES = {};

    private final EventLoop loop;
    private final UnaryOperator<String> callAddress;
    private final Map<String, ArrayDeque<Call>> idleByAddress = new HashMap<>();

    /** Creates a client on a loop that calls each address as it is. */
    public PeerClient(EventLoop loop) {
        this(loop, UnaryOperator.identity());
    }

    /**
     * Creates a client on a loop.
     *
     * @param callAddress maps the address of a process to the one at which it is called
     */
    public PeerClient(EventLoop loop, UnaryOperator<String> callAddress) {
        this.loop = loop;
        this.callAddress = callAddress;
    }

    @Override
    public void call(String address, Message message, long timeoutMs, Consumer<Message> answer) {
        byte[] bytes = MessageCodec.encode(message);
        ArrayDeque<Call> free = idleByAddress.computeIfAbsent(address, a -> new ArrayDeque<>());
        Call call = free.pollLast();
        while (call != null && !call.connection.ready()) {
            call = free.pollLast();
        }
        boolean isConnected = call != null;
        Call started = isConnected ? call : new Call(address);
        started.start(bytes, timeoutMs, answer);
        try {
            if (isConnected) {
                started.send();
            } else {
                started.connect();
            }
        } catch (RuntimeException e) {
            loop.reportDefect("failed to call " + address, e);
            loop.execute(started::fail);
        }
    }

    /** A connection with one call in flight at most. */
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

        void start(byte[] bytes, long timeoutMs, Consumer<Message> consumer) {
            request = bytes;
            received = NO_BYTES;
            answer = consumer;
            timer = loop.schedule(timeoutMs, this::onTimeout);
        }

        void connect() {
            connection = HttpConnection.connect(loop, callAddress.apply(address), this);
        }

        void send() {
            Headers headers = new Headers().add("Host", address);
            connection.send(new RequestHead("POST", PATH, headers), request);
        }

        private void onTimeout() {
            fail();
        }

        private void fail() {
            if (connection != null) {
                connection.close();
            }
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
            byte[] longer = Arrays.copyOf(received, received.length + bytes.length);
            System.arraycopy(bytes, 0, longer, received.length, bytes.length);
            received = longer;
        }

        @Override
        public void end(boolean reusable) {
            ArrayDeque<Call> free = idleByAddress.get(address);
            if (reusable && free.size() < MAX_IDLE_PER_ADDRESS) {
                free.addLast(this);
            } else if (reusable) {
                connection.close();
            }
            Message message = null;
            if (status == STATUS_OK) {
                try {
                    message = MessageCodec.decode(received);
                } catch (ResultException e) {
                    message = null; // as any other failed call
                }
            }
            finish(message);
        }

        @Override
        public void closed(boolean everConnected) {
            idleByAddress.get(address).remove(this);
            finish(null);
        }
    }
}
