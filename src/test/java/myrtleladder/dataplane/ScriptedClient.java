package myrtleladder.dataplane;

import java.nio.charset.StandardCharsets;
import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ServerExchange;

/** A fake client that sends one request and records the response. */
final class ScriptedClient implements ServerExchange {
    private final RequestHead head;
    private Runnable onGone;
    private boolean open = true;
    int status;
    Headers headers;
    final StringBuilder body = new StringBuilder();
    boolean ended;
    boolean aborted;
    int responses;

    /** Whether the exchange throws an exception where it should respond. */
    boolean failsToRespond;

    /** Number of responses that ended, including by an abort; more than one is an error. */
    int finalResponses;

    /**
     * Number of calls in states in which the exchange ignores them; a request that depends on such
     * a call never ends.
     */
    int ignoredCalls;

    ScriptedClient(String path, String... fields) {
        Headers sent =
                new Headers()
                        .add("Host", "h.example")
                        .add(HeaderNames.ATTEMPT_ID, "a1")
                        .add(HeaderNames.AUTHORIZATION, "Token k1")
                        .add(HeaderNames.DEADLINE_MS, "8000");
        for (int i = 0; i < fields.length; i += 2) {
            sent.set(fields[i], fields[i + 1]);
        }
        head = new RequestHead("POST", path, sent);
    }

    @Override
    public RequestHead head() {
        return head;
    }

    @Override
    public byte[] body() {
        return new byte[] {'b'};
    }

    @Override
    public String caller() {
        return "client";
    }

    @Override
    public void respond(int statusCode, Headers responseHeaders, byte[] bytes) {
        if (failsToRespond) {
            throw new IllegalStateException("a bug");
        }
        if (responses > 0 || aborted) {
            ignoredCalls++;
            return;
        }
        finalResponses++;
        responses++;
        status = statusCode;
        headers = responseHeaders;
        body.append(new String(bytes, StandardCharsets.UTF_8));
        ended = true;
    }

    @Override
    public void begin(int statusCode, Headers responseHeaders) {
        if (responses > 0 || aborted) {
            ignoredCalls++;
            return;
        }
        responses++;
        status = statusCode;
        headers = responseHeaders;
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
        body.append(new String(bytes, offset, length, StandardCharsets.UTF_8));
    }

    @Override
    public void end() {
        if (responses == 0 || ended || aborted) {
            ignoredCalls++;
            return;
        }
        finalResponses++;
        ended = true;
    }

    @Override
    public void abort() {
        if (ended || aborted) {
            ignoredCalls++;
            return;
        }
        finalResponses++;
        aborted = true;
    }

    @Override
    public boolean reserveMemory(long bytes) {
        return true;
    }

    @Override
    public boolean open() {
        return open;
    }

    @Override
    public void onGone(Runnable task) {
        onGone = task;
    }

    void disconnect() {
        open = false;
        onGone.run();
    }
}
