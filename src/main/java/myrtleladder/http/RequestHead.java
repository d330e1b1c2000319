package myrtleladder.http;

/** Method, target and header fields of a request. */
public record RequestHead(String method, String target, Headers headers) {
    /** The path of the target, without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
