package myrtleladder.http;

/**
 * Status and header fields of a response.
 *
 * @param status the status code
 * @param headers the header fields
 * @param framed whether the body ends by Content-Length or chunked coding (RFC 9112, section 6.3)
 *     rather than with the connection; if not, its completeness can't be known
 */
public record ResponseHead(int status, Headers headers, boolean framed) {}
