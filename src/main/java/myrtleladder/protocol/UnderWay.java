package myrtleladder.protocol;

/** Requests that a balancer has under way at an upstream that leaves. */
public final class UnderWay {
    /** The upstream's incarnation. */
    public String instance = "";

    /** How many. */
    public int requests;

    /** Creates a message from its parts. */
    public static UnderWay of(String instance, int requests) {
        UnderWay made = new UnderWay();
        made.instance = instance;
        made.requests = requests;
        return made;
    }
}
