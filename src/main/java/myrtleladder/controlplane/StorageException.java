package myrtleladder.controlplane;

import myrtleladder.io.ResultCode;
import myrtleladder.io.SystemException;

/** The disk does not take or give back the state. */
public final class StorageException extends SystemException {
    private static final long serialVersionUID = 1;

    /** Creates a failure with its cause, which may be null. */
    public StorageException(ResultCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
