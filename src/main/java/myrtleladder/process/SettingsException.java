package myrtleladder.process;

import myrtleladder.result.ResultCode;
import myrtleladder.result.ResultException;

/** Settings or a command line that can't be used; the message names the field or word. */
public final class SettingsException extends ResultException {
    private static final long serialVersionUID = 1;

    /** Creates an exception. */
    public SettingsException(ResultCode code, String message) {
        super(code, message);
    }
}
