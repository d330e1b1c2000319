package myrtleladder.gossip;

/**
 * A datagram can't be used. The message is the reason by which dropped datagrams are counted:
 * {@code malformed}, {@code version} or {@code foreign}.
 */
final class RejectedDatagramException extends Exception {
    private static final long serialVersionUID = 1L;

    RejectedDatagramException(String reason) {
        super(reason, null, false, false); // without a stack trace: thrown for each one of a flood
    }
}
