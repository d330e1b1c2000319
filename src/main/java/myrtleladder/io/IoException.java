package myrtleladder.io;

/** A failure of sockets or peers. */
public final class IoException extends SystemException {
    private static final long serialVersionUID = 1;

    /** Creates a failure with its cause, which may be null. */
    public IoException(ResultCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
