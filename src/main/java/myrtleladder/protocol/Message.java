package myrtleladder.protocol;

/**
 * A message of the internal protocol that the processes of the fleet speak among themselves: a
 * request or a response, carried in the body of an HTTP POST.
 *
 * <p>Protostuff numbers the fields of a message in the order of their declaration, and processes of
 * two versions talk to each other during an upgrade. So fields may be renamed, and new ones added
 * at the end, but never reordered or removed. The fields are public and not final because the codec
 * sets them; a message is not changed once it was sent or received.
 */
public interface Message {}
