package myrtleladder.maintenance;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import myrtleladder.consensus.ConsensusNode;

/**
 * Proposes commands and suppresses repetitions. Commands of one process are committed one after the
 * other, so a command that is proposed again and again would delay the others.
 */
final class CommandProposer {
    /** A command that had no effect for so long may be proposed again. */
    private static final long RETRY_INTERVAL_US = 2_000_000;

    private final ConsensusNode consensus;
    private final MaintenanceEnvironment environment;
    private final Map<String, Long> lastProposedUs = new HashMap<>();

    CommandProposer(ConsensusNode consensus, MaintenanceEnvironment environment) {
        this.consensus = consensus;
        this.environment = environment;
    }

    /** Proposes what an operator or worker has requested. */
    void propose(long nowUs, OperatorCommand command) {
        if (markProposed(nowUs, new String(command.bytes(), StandardCharsets.UTF_8))) {
            consensus.propose(nowUs, command.bytes());
        }
    }

    /** Proposes a command of this process. */
    void propose(long nowUs, MaintenanceCommand command) {
        byte[] bytes = command.write();
        String key = command.kind() + " " + command.name() + " " + command.token();
        if (!markProposed(nowUs, key)) {
            return;
        }
        switch (command.kind()) {
            case ORDER -> environment.onFaultPoint(MaintenanceFaultPoint.ORDERING);
            case CLEAR -> environment.onFaultPoint(MaintenanceFaultPoint.CLEARING);
            case GRANT -> environment.onFaultPoint(MaintenanceFaultPoint.GRANTING);
            case TAKEN_IN -> environment.onFaultPoint(MaintenanceFaultPoint.TAKING_IN);
            default -> {}
        }
        consensus.propose(nowUs, bytes);
    }

    /** Notes a proposal; false if it was made a short time ago. */
    private boolean markProposed(long nowUs, String key) {
        Long before = lastProposedUs.get(key);
        if (before != null && nowUs - before < RETRY_INTERVAL_US) {
            return false;
        }
        lastProposedUs.values().removeIf(proposedUs -> nowUs - proposedUs >= RETRY_INTERVAL_US);
        lastProposedUs.put(key, nowUs);
        return true;
    }
}
