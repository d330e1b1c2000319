package myrtleladder.controlplane;

import myrtleladder.configuration.ConfigurationDocument;
import myrtleladder.configuration.ConfigurationException;
import myrtleladder.result.ResultCode;

/**
 * The outcome of checking a configuration change against the committed configuration. The check has
 * no side effects; its outcome is final only if a majority confirmed this node as primary after the
 * request had arrived.
 */
sealed interface ChangeValidation {
    /** The change applies; {@code next} is the configuration that it leads to. */
    record Valid(ConfigurationDocument next) implements ChangeValidation {}

    /** The same request was committed before, so that it is acknowledged once more. */
    record AlreadyCommitted() implements ChangeValidation {}

    /** The change is refused for good, with the HTTP status and the reason. */
    record Rejected(int status, String reason) implements ChangeValidation {}

    /** Checks a {@code PUT} or {@code PATCH}. */
    static ChangeValidation of(ConfigurationRequest request, CommittedConfiguration committed) {
        if (committed.includesChange(request.digest())) {
            return new AlreadyCommitted();
        }
        if (!request.matches(committed.generation())) {
            return new Rejected(
                    HttpResponses.PRECONDITION_FAILED,
                    ResultCode.STALE_MATCH.label()
                            + ": generation "
                            + committed.generation()
                            + " is current");
        }
        try {
            ConfigurationDocument current = committed.document();
            return new Valid(
                    request.isReplacement()
                            ? current.replacedBy(request.body())
                            : current.patchedBy(request.body()));
        } catch (ConfigurationException e) {
            return new Rejected(HttpResponses.BAD_REQUEST, e.getMessage());
        }
    }
}
