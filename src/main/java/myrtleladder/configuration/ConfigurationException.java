package myrtleladder.configuration;

import myrtleladder.result.ResultCode;
import myrtleladder.result.ResultException;

/** A configuration that can't be taken, with the place of the fault in the message. */
public final class ConfigurationException extends ResultException {
    private static final long serialVersionUID = 1;

    /** Creates a refusal. */
    public ConfigurationException(ResultCode code, String message) {
        super(code, message);
    }
}
