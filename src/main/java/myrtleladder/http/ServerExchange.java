package myrtleladder.http;

/** One request at a server and the answer that it is owed. */
public interface ServerExchange {
    /** Method, target and headers. */
    RequestHead head();

    /** The whole body. */
    byte[] body();

    /** The address of the caller. */
    String caller();

    /** Sends a whole answer. */
    void respond(int status, Headers headers, byte[] body);

    /** Begins an answer whose body follows in pieces. */
    void begin(int status, Headers headers);

    /** Sends a piece of the body. */
    void write(byte[] bytes, int offset, int length);

    /** Ends the body. */
    void end();

    /** Breaks the connection off, so that the answer can't pass for whole. */
    void abort();

    /** Whether the caller's connection still stands. */
    boolean open();

    /** Sets what is to be done once if the caller's connection ends before the answer does. */
    void onGone(Runnable task);
}
