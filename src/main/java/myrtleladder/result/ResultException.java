package myrtleladder.result;

/** A failure with a numbered result code. */
public class ResultException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final ResultCode code;

    /** Creates a failure without a cause. */
    public ResultException(ResultCode code, String message) {
        this(code, message, null);
    }

    /** Creates a failure with its cause. */
    public ResultException(ResultCode code, String message, Throwable cause) {
        super(code.label() + ": " + message, cause);
        this.code = code;
    }

    /** What kind of failure this is. */
    public ResultCode code() {
        return code;
    }
}
