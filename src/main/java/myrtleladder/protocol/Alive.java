package myrtleladder.protocol;

/** A heartbeat of a process to one of its monitors. */
public final class Alive implements Message {
    /** The process. */
    public String name = "";

    /** Creates a message from its parts. */
    public static Alive of(String name) {
        Alive message = new Alive();
        message.name = name;
        return message;
    }
}
