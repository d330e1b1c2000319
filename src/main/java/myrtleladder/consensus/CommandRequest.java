package myrtleladder.consensus;

/**
 * Asks the leader to append a command.
 *
 * @param sequence number of the command among those of its proposer, from 1
 */
record CommandRequest(ProcessId from, ProcessId to, Term term, long sequence, byte[] command)
        implements Message {
    static CommandRequest of(MessageFrame frame) {
        return new CommandRequest(
                frame.from(), frame.to(), frame.term(), frame.number(), frame.bytes());
    }

    @Override
    public MessageFrame toFrame() {
        return MessageFrame.of(
                        MessageFrame.Kind.COMMAND_REQUEST, from, to, term, 0, Term.NONE, sequence)
                .withBytes(command, 0, 0);
    }
}
