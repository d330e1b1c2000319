package myrtleladder.loadbalancer.server;

import io.netty.handler.codec.http.FullHttpResponse;
import myrtleladder.loadbalancer.policy.Outcome;

/** Receives the end of an {@link Exchange}, on the event loop. */
interface ExchangeListener {
    /**
     * Called at most once, when the exchange has ended; never after {@link Exchange#abandon}.
     *
     * @param response the response, or null if there is none; the caller releases it after this
     *     call
     */
    void exchangeEnded(Outcome outcome, FullHttpResponse response);
}
