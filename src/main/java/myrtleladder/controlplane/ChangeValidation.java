package myrtleladder.controlplane;

import myrtleladder.configuration.ConfigurationDocument;
import myrtleladder.configuration.ConfigurationException;
import myrtleladder.result.ResultCode;

/**
 * The result of validating a configuration change against the committed configuration. Validation
 * has no side effects. Its result is final only if a majority has confirmed this node as primary
 * since the request arrived.
 */
sealed interface ChangeValidation {
    /** The change is valid; {@code next} is the resulting configuration. */
    record Valid(ConfigurationDocument next) implements ChangeValidation {}

    /** The same request is already committed, so it is acknowledged again (idempotent retry). */
    record AlreadyCommitted() implements ChangeValidation {}

    /** The change is invalid and a retry would fail too; has the HTTP status and the reason. */
    record Rejected(int status, String reason) implements ChangeValidation {}

    /** Validates a {@code PUT} or {@code PATCH} request. */
    static ChangeValidation validate(
            ConfigurationRequest request, CommittedConfiguration committed) {
        if (committed.isChangeCommitted(request.digest())) {
            return new AlreadyCommitted();
        }
        if (!request.matchesGeneration(committed.generation())) {
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
