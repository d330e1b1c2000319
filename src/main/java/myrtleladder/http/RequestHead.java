package myrtleladder.http;

/**
 * Request line and header fields of a request (RFC 9112, section 3).
 *
 * @param method the method, in upper case
 * @param target the request target in origin form: path and query
 * @param headers the header fields
 */
public record RequestHead(String method, String target, Headers headers) {
    /** Returns the path of the target, without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
