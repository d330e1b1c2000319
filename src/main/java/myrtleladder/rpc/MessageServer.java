package myrtleladder.rpc;

import java.util.function.Consumer;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.http.Headers;
import myrtleladder.http.HttpServer;
import myrtleladder.http.ServerExchange;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.result.ResultException;

/** Takes the calls of other processes of the fleet. */
public final class MessageServer {
    private static final byte[] NO_BYTES = {};

    /** Who answers messages. */
    public interface Handler {
        /** Handles a message; the answer, or null for none, is handed over once, now or later. */
        void receive(Message message, Consumer<Message> answer);
    }

    private final Handler handler;
    private long refused;

    /** Listens at an address. */
    public MessageServer(EventLoop loop, String host, int port, Handler handler) {
        this.handler = handler;
        new HttpServer(loop, host, port, this::handle);
    }

    /** How many calls could not be read. */
    public long refused() {
        return refused;
    }

    private void handle(ServerExchange exchange) {
        Message message;
        try {
            message = MessageCodec.decode(exchange.body());
        } catch (ResultException e) {
            refused++;
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
