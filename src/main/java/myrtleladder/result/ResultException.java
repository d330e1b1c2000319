package myrtleladder.result;

/**
 * The base of all exceptions with a numbered result code: {@code NetworkException}, {@code
 * MessageFormatException}, {@code SettingsException}, {@code ConfigurationException} and {@code
 * StoreException}. The message begins with the label of the code and says what happened and where;
 * what can be done stands in docs/errors.md under the number.
 */
public class ResultException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final ResultCode code;

    /** Creates an exception without a cause. */
    public ResultException(ResultCode code, String message) {
        this(code, message, null);
    }

    /** Creates an exception with its cause, which may be null. */
    public ResultException(ResultCode code, String message, Throwable cause) {
        super(code.label() + ": " + message, cause);
        this.code = code;
    }

    /** Returns the numbered result. */
    public ResultCode code() {
        return code;
    }
}
