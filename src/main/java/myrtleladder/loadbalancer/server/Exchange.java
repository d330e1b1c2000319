package myrtleladder.loadbalancer.server;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.function.BooleanSupplier;
import myrtleladder.loadbalancer.policy.Outcome;

/**
 * One request to an upstream and its response. Ends exactly once. Owns the reference to the request
 * until the request is written or the exchange ends.
 *
 * <p>Confined to the event loop.
 */
final class Exchange {
    private final EventLoop loop;
    private final BooleanSupplier canBegin;
    private final ExchangeListener listener;

    /** Null after the request was written or released. */
    private FullHttpRequest request;

    /** The channel that is connecting for this exchange or carries it; null if there is none. */
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

    /** Sets the channel that is connecting for this exchange; it is closed on {@link #abandon}. */
    void connecting(Channel channel) {
        this.channel = channel;
    }

    /** Writes the request to a connection, or ends the exchange if it may no longer begin. */
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
     * Ends the exchange after the loss of its connection. If the last byte of the request was not
     * written yet, the upstream can't have begun to process the request.
     */
    void connectionLost() {
        channel.close();
        boolean mayHaveRun = isWritten;
        // Deferred, since a write can fail within start(), which must not call the listener.
        loop.execute(() -> end(mayHaveRun ? Outcome.RESET : Outcome.CONNECT_FAILED, null));
    }

    /**
     * Ends the exchange without calling the listener. The socket is closed before this returns, so
     * that a following attempt does not count as a hedged request.
     */
    void abandon() {
        hasEnded = true;
        releaseRequest();
        if (channel != null) {
            channel.close();
        }
    }

    /** Ends the exchange unless it has ended; the caller keeps ownership of {@code response}. */
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
