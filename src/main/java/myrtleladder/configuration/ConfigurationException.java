package myrtleladder.configuration;

import myrtleladder.result.ResultCode;
import myrtleladder.result.ResultException;

/** Thrown if a configuration is invalid. The message names the path of the field at fault. */
public final class ConfigurationException extends ResultException {
    private static final long serialVersionUID = 1;

    /** Creates an exception with the code that the operator receives. */
    public ConfigurationException(ResultCode code, String message) {
        super(code, message);
    }
}
