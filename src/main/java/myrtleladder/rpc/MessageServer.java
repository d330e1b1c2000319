package myrtleladder.rpc;

import java.util.function.Consumer;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.http.Headers;
import myrtleladder.http.HttpServer;
import myrtleladder.http.RequestLimits;
import myrtleladder.http.ServerExchange;
import myrtleladder.http.ServerResources;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.result.ResultException;

/**
 * Receives the messages of other processes of the fleet: one POST each, with the message in the
 * body. Answers 200 with a response message, 503 if the handler has none, and 400 if the message
 * can't be decoded.
 *
 * <p>Threading: confined to the event loop.
 */
public final class MessageServer {
    private static final byte[] NO_BYTES = {};

    /** Handles messages on the event loop. */
    public interface Handler {
        /**
         * Handles a message. Passes the response, or null for none, to the consumer once, now or
         * later.
         */
        void receive(Message message, Consumer<Message> answer);
    }

    private final Handler handler;
    private long undecodable;

    /**
     * Listens at an address.
     *
     * @throws myrtleladder.eventloop.NetworkException if it can't be bound
     */
    public MessageServer(EventLoop loop, String host, int port, Handler handler) {
        this.handler = handler;
        new HttpServer(loop, host, port, this::handle);
    }

    /**
     * Listens at an address.
     *
     * @param limits limits on each message
     * @param resources what the callers of this server and the clients of others may use together
     * @throws myrtleladder.eventloop.NetworkException if it can't be bound
     */
    public MessageServer(
            EventLoop loop,
            String host,
            int port,
            RequestLimits limits,
            ServerResources resources,
            Handler handler) {
        this.handler = handler;
        new HttpServer(loop, host, port, () -> limits, resources, this::handle);
    }

    /** Returns the number of messages that could not be decoded. */
    public long refused() {
        return undecodable;
    }

    private void handle(ServerExchange exchange) {
        Message message;
        try {
            message = MessageCodec.decode(exchange.body());
        } catch (ResultException e) {
            undecodable++;
            exchange.respond(400, new Headers(), NO_BYTES);
            return;
        }
        handler.receive(
                message,
                answer -> {
                    if (answer == null) {
                        exchange.respond(503, new Headers(), NO_BYTES);
                    } else {
                        exchange.respond(200, new Headers(), MessageCodec.encode(answer));
                    }
                });
    }
}
