package myrtleladder.eventloop;

import myrtleladder.result.ResultCode;
import myrtleladder.result.ResultException;

/**
 * A socket that can't be opened ({@link ResultCode#NO_SOCKET}) or a connection that takes no
 * request ({@link ResultCode#PEER_FAILED}, after which the caller retries on another connection).
 */
public final class NetworkException extends ResultException {
    private static final long serialVersionUID = 1;

    /** Creates an exception with its cause, which may be null. */
    public NetworkException(ResultCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
