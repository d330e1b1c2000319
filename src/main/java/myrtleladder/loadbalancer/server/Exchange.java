package myrtleladder.loadbalancer.server;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.function.BooleanSupplier;
import myrtleladder.loadbalancer.policy.Outcome;

/**
 * One request to an upstream and the response to it, up to its one end. Owns the reference to the
 * request until that is written or the exchange ends.
 *
 * <p>Confined to the event loop.
 */
final class Exchange {
    private final EventLoop loop;
    private final BooleanSupplier canBegin;
    private final ExchangeListener listener;

    /** Null once it is written or released. */
    private FullHttpRequest request;

    /** The connection that comes up for it or carries it; null without one. */
    private Channel channel;

    private boolean isWritten;
    private boolean hasEnded;

    Exchange(
            EventLoop loop,
            FullHttpRequest request,
            BooleanSupplier canBegin,
            ExchangeListener listener) {
        this.loop = loop;
        this.request = request;
        this.canBegin = canBegin;
        this.listener = listener;
    }

    /** Whether the last byte of the request has been written. */
    boolean isWritten() {
        return isWritten;
    }

    boolean hasEnded() {
        return hasEnded;
    }

    /** A connection comes up for this exchange: it is closed if the exchange is abandoned. */
    void connecting(Channel channel) {
        this.channel = channel;
    }

    /** Writes the request to a connection, unless the exchange may not begin any more. */
    void write(UpstreamConnection connection) {
        if (!canBegin.getAsBoolean()) {
            channel = null;
            connection.keepAlive();
            loop.execute(() -> end(Outcome.MOOT, null));
            return;
        }
        channel = connection.begin(this);
        FullHttpRequest message = request;
        request = null;
        channel.writeAndFlush(message)
                .addListener(
                        future -> {
                            isWritten = future.isSuccess();
                            if (!isWritten) {
                                connectionLost();
                            }
                        });
    }

    /**
     * The connection is lost. Before the last byte of the request was written, the upstream can't
     * have begun to process it.
     */
    void connectionLost() {
        channel.close();
        boolean mayHaveRun = isWritten;
        // Never from within start(): a write can fail at once.
        loop.execute(() -> end(mayHaveRun ? Outcome.RESET : Outcome.CONNECT_FAILED, null));
    }

    /**
     * Ends the exchange without a call of the listener. The socket is closed before this returns,
     * so that a further attempt is no hedged request.
     */
    void abandon() {
        hasEnded = true;
        releaseRequest();
        if (channel != null) {
            channel.close();
        }
    }

    /** Ends the exchange, unless it has ended; {@code response} stays the caller's to release. */
    void end(Outcome outcome, FullHttpResponse response) {
        if (!hasEnded) {
            hasEnded = true;
            releaseRequest();
            listener.exchangeEnded(outcome, response);
        }
    }

    private void releaseRequest() {
        if (request != null) {
            request.release();
            request = null;
        }
    }
}
