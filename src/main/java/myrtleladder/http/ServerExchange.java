package myrtleladder.http;

/**
 * One complete request at a server and its response: either {@link #respond}, or {@link #begin},
 * any number of {@link #write} and {@link #end}. Calls in another state have no effect.
 *
 * <p>Threading: confined to the event loop. Arrays that are passed in belong to the exchange from
 * then on and must not be changed.
 */
public interface ServerExchange {
    /** Returns method, target and header fields. */
    RequestHead head();

    /** Returns the complete body, not a copy; empty if there is none. */
    byte[] body();

    /** Returns the address of the client's end of the connection. */
    String caller();

    /**
     * Reserves memory for the response until the exchange ends, beside what its request uses.
     *
     * @return whether there is memory for it
     */
    boolean reserveMemory(long bytes);

    /** Sends a complete response; {@code headers} is changed. */
    void respond(int status, Headers headers, byte[] body);

    /** Begins a response with chunked body; its head is sent with the first chunk. */
    void begin(int status, Headers headers);

    /** Sends a chunk of the body; an empty one is ignored. */
    void write(byte[] bytes, int offset, int length);

    /** Sends the last chunk. */
    void end();

    /** Closes the connection, so that the client can't take the response for complete. */
    void abort();

    /** Returns whether the client's connection is open. */
    boolean open();

    /**
     * Sets the callback that runs once if the client's connection closes before the response ends.
     */
    void onGone(Runnable task);
}
