package myrtleladder.loadbalancer.server;

import io.netty.handler.codec.http.FullHttpResponse;
import myrtleladder.loadbalancer.policy.Outcome;

/** Receives the end of an {@link Exchange}, on the event loop. */
interface ExchangeListener {
    /**
     * The exchange has ended; called at most once, and never after {@link Exchange#abandon}.
     *
     * @param response null without one; the caller releases it after this call
     */
    void exchangeEnded(Outcome outcome, FullHttpResponse response);
}
