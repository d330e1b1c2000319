package myrtleladder.controlplane;

import myrtleladder.result.ResultCode;
import myrtleladder.result.ResultException;

/** The disk does not take or give back the state. */
public final class StoreException extends ResultException {
    private static final long serialVersionUID = 1;

    /** Creates a failure with its cause, which may be null. */
    public StoreException(ResultCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
