package myrtleladder.controlplane;

import java.util.function.Consumer;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;

/**
 * A balancer's poll that waits for an update.
 *
 * @param request what the balancer has
 * @param responder takes the one response
 * @param receivedAtMs when the poll arrived, by the clock of the scheduler
 */
record LongPoll(PollRequest request, Consumer<Message> responder, long receivedAtMs) {}
