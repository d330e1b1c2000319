package myrtleladder.protocol;

import myrtleladder.result.ResultCode;
import myrtleladder.result.ResultException;

/**
 * Bytes that are no message of the internal protocol: an unknown type, or fields that can't be
 * read. The receiver refuses the call; the sender may run another version of the program.
 */
public final class MessageFormatException extends ResultException {
    private static final long serialVersionUID = 1;

    /** Creates an exception with its cause, which may be null. */
    public MessageFormatException(String message, Throwable cause) {
        super(ResultCode.BAD_MESSAGE, message, cause);
    }
}
