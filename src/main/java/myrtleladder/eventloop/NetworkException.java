package myrtleladder.eventloop;

import myrtleladder.result.ResultCode;
import myrtleladder.result.ResultException;

/** A failure of sockets or peers. */
public final class NetworkException extends ResultException {
    private static final long serialVersionUID = 1;

    /** Creates a failure with its cause, which may be null. */
    public NetworkException(ResultCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
