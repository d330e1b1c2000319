package myrtleladder.loadbalancer.admin;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A response of the admin server. */
record AdminResponse(HttpResponseStatus status, String contentType, String body) {
    private static final String JSON = "application/json";
    private static final String PLAIN_TEXT = "text/plain";

    /** Content type of the Prometheus text format, version 0.0.4. */
    private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";

    static AdminResponse json(HttpResponseStatus status, String body) {
        return new AdminResponse(status, JSON, body);
    }

    static AdminResponse metrics(String body) {
        return new AdminResponse(HttpResponseStatus.OK, PROMETHEUS_TEXT, body);
    }

    /** A plain-text message for an operator, followed by a line feed. */
    static AdminResponse message(HttpResponseStatus status, String message) {
        return new AdminResponse(status, PLAIN_TEXT, message + "\n");
    }

    static AdminResponse busy() {
        return message(HttpResponseStatus.SERVICE_UNAVAILABLE, "the event loop is busy");
    }
}
