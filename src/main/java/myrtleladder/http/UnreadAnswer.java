package myrtleladder.http;

/**
 * A client whose connection is closed because of an answer that it has not read.
 *
 * @param client the address of the client's end
 * @param port the server's port
 * @param reason which limit was exceeded
 * @param waitingBytes bytes of answers that the socket has not taken
 * @param heldBytes the memory that is counted for them
 * @param sinceTakenMs how long ago the socket took or was given the latest of them
 */
record UnreadAnswer(
        String client,
        int port,
        Refusal reason,
        long waitingBytes,
        long heldBytes,
        long sinceTakenMs) {
    /** Returns a line for the log. */
    String describe() {
        String size = "%d bytes of its answers wait and count as %d";
        return ("closed client %s at port %d (%s): " + size + "; last change %d ms ago")
                .formatted(client, port, reason, waitingBytes, heldBytes, sinceTakenMs);
    }
}
