package myrtleladder.consensus;

import java.io.UncheckedIOException;

/** Encodes messages and hands them to the network; one that can't be sent counts as lost. */
final class MessageSender {
    private final String fleet;
    private final ConsensusEnvironment environment;
    private final DroppedDatagrams dropped;

    MessageSender(String fleet, ConsensusEnvironment environment, DroppedDatagrams dropped) {
        this.fleet = fleet;
        this.environment = environment;
        this.dropped = dropped;
    }

    void send(ProcessId recipient, Message message) {
        try {
            environment.send(recipient.name(), MessageEncoder.encode(fleet, message.toFrame()));
        } catch (UncheckedIOException e) {
            dropped.count("not sent");
        }
    }
}
