package myrtleladder.controlplane;

import myrtleladder.result.ResultCode;
import myrtleladder.result.ResultException;

/** Thrown when stored data cannot be written to disk or read from it. */
public final class StorageException extends ResultException {
    private static final long serialVersionUID = 1;

    /** Creates an exception; {@code cause} may be null. */
    public StorageException(ResultCode code, String message, Throwable cause) {
        super(code, message, cause);
    }

    /** Creates an exception for a damaged file. */
    static StorageException damaged(String message) {
        return new StorageException(ResultCode.DISK_DAMAGED, message, null);
    }
}
