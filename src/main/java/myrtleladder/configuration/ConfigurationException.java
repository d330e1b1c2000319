package myrtleladder.configuration;

import myrtleladder.result.ResultCode;
import myrtleladder.result.ResultException;

/** A configuration that is rejected; the message has the path of the field. */
public final class ConfigurationException extends ResultException {
    private static final long serialVersionUID = 1;

    /** Creates an exception. */
    public ConfigurationException(ResultCode code, String message) {
        super(code, message);
    }
}
