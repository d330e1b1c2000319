package yewyoke.configuration;

import yewyoke.io.ResultCode;
import yewyoke.io.SystemException;

/** A configuration that can't be taken, with the place of the fault in the message. */
public final class ConfigurationException extends SystemException {
    private static final long serialVersionUID = 1;

    /** Creates a refusal. */
    public ConfigurationException(ResultCode code, String message) {
        super(code, message);
    }
}
