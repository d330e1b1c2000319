package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which election timeout applies, and when a member may become a candidate. */
class ElectionTimerTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final ElectionTimer timer = new ElectionTimer(clock);

    private boolean expiresAfter(long durationMs) {
        clock.run(durationMs);
        boolean before = timer.hasExpired(clock.now(), 0);
        clock.run(1);
        return !before && timer.hasExpired(clock.now(), 0);
    }

    @Test
    void initialTimeoutAppliesUntilContactWithAPrimary() {
        timer.restart();
        assertTrue(expiresAfter(ReplicationTiming.INITIAL_ELECTION_TIMEOUT_MS));
    }

    @Test
    void fullTimeoutAppliesAfterContactWithAPrimary() {
        timer.onPrimaryContact();
        assertTrue(expiresAfter(ReplicationTiming.ELECTION_TIMEOUT_MS));
    }

    @Test
    void retryTimeoutAppliesAfterAnAttemptThatMaySucceedIfRepeated() {
        timer.onPrimaryContact();
        timer.useRetryTimeout();
        assertTrue(expiresAfter(ReplicationTiming.ELECTION_RETRY_TIMEOUT_MS));
    }

    @Test
    void delayOfTheRankIsAddedToTheTimeout() {
        timer.onPrimaryContact();
        clock.run(ReplicationTiming.ELECTION_TIMEOUT_MS + 100);
        assertFalse(timer.hasExpired(clock.now(), 100));
        assertTrue(timer.hasExpired(clock.now(), 99));
    }

    @Test
    void contactWithACandidateDoesNotCountAsContactWithAPrimary() {
        timer.restart();
        assertFalse(timer.hadPrimaryContactWithin(ReplicationTiming.PRIMARY_CONTACT_VALIDITY_MS));
        timer.onPrimaryContact();
        assertTrue(timer.hadPrimaryContactWithin(ReplicationTiming.PRIMARY_CONTACT_VALIDITY_MS));
        clock.run(ReplicationTiming.PRIMARY_CONTACT_VALIDITY_MS);
        assertFalse(timer.hadPrimaryContactWithin(ReplicationTiming.PRIMARY_CONTACT_VALIDITY_MS));
    }

    @Test
    void candidacyIsPermittedOnceItsSuppressionHasEnded() {
        timer.suppressCandidacy(1_000);
        clock.run(999);
        assertTrue(timer.isCandidacySuppressed(clock.now()));
        clock.run(1);
        assertFalse(timer.isCandidacySuppressed(clock.now()));
    }
}
