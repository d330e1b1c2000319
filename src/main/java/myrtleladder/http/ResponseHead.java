package myrtleladder.http;

/**
 * Status and header fields of an answer; {@code framed} says that its end can be told from its
 * bytes, by a length or by chunks, and does not depend on the connection's end.
 */
public record ResponseHead(int status, Headers headers, boolean framed) {}
