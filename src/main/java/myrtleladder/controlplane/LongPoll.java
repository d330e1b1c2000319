package myrtleladder.controlplane;

import java.util.function.Consumer;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;

/**
 * A balancer's poll that waits for an update.
 *
 * @param request the poll, with the versions that the balancer already has
 * @param responder receives the only response
 * @param receivedAtMs arrival time of the poll on the scheduler's clock, in milliseconds
 */
record LongPoll(PollRequest request, Consumer<Message> responder, long receivedAtMs) {}
