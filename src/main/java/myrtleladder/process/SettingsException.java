package myrtleladder.process;

import myrtleladder.io.ResultCode;
import myrtleladder.io.SystemException;

/** Settings or a command line that can't be used. */
public final class SettingsException extends SystemException {
    private static final long serialVersionUID = 1;

    /** Creates a refusal. */
    public SettingsException(ResultCode code, String message) {
        super(code, message);
    }
}
