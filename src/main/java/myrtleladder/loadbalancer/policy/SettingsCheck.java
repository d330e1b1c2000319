package myrtleladder.loadbalancer.policy;

/** Validates the settings of an instance. */
public final class SettingsCheck {
    private SettingsCheck() {}

    /**
     * Checks that all settings are in range.
     *
     * @throws IllegalArgumentException if one is not; the message has its name in the settings file
     */
    public static void check(Settings settings) {
        require(!settings.classes().isEmpty(), "classes");
        require(settings.zones() >= 1, "localities");
        require(settings.zone() >= 0 && settings.zone() < settings.zones(), "az");
        require(settings.groupSize() >= 1, "group-size");
        require(settings.position() >= 0, "position");
        require(settings.overLimitPriorityFactor() >= 0, "over-share-worth");
        require(settings.tickUs() >= 0, "tick-s");
        for (RequestClass requestClass : settings.classes()) {
            require(requestClass.latencyTargetUs() > 0, "classes.aim-s");
            require(requestClass.timeoutUs() > 0, "classes.give-up-s");
            require(requestClass.priorityWeight() >= 0, "classes.worth");
            require(requestClass.lateValueFactor() >= 0, "classes.late-worth");
            require(requestClass.keyRetentionUs() >= 0, "classes.memory-span-s");
            require(requestClass.latencyTargetUsPerWork() >= 0, "classes.aim-stretch");
        }
        for (Tenant tenant : settings.tenants()) {
            require(tenant.rateLimitPerSecond() >= 0, "parties.allowance-per-s");
            require(tenant.share() >= 0, "parties.share");
        }
        require(settings.limits().maxAttempts() >= 1, "ceilings.try-limit");
        require(settings.limits().maxOpenRequests() >= 0, "ceilings.max-open");
        require(
                settings.rules().initialCapacityFraction() >= 0
                        && settings.rules().initialCapacityFraction() <= 1,
                "rules.start-capacity");
        require(settings.rules().slowStartDurationUs() >= 0, "rules.cold-s");
        require(settings.rules().drainGraceUs() >= 0, "rules.drain-grace-s");
        require(settings.rules().overloadMultiple() >= 0, "rules.fall-multiple");
        require(settings.rules().overloadWindowUs() >= 0, "rules.fall-s");
        require(settings.prices().probe() >= 0, "prices.probe");
        require(settings.prices().peerMessage() >= 0, "prices.peer");
        require(settings.prices().crossZone() >= 0, "prices.cross-zone");
        require(settings.prices().wastedWork() >= 0, "prices.waste");
        require(settings.prices().lateFailure() >= 0, "prices.late-fail");
        require(settings.prices().handshake() >= 0, "prices.handshake");
        require(settings.limits().maxRetryAfterUs() >= 0, "ceilings.max-retry-after-s");
        require(settings.limits().connectTimeoutUs() >= 0, "ceilings.connect-timeout-s");
        require(settings.limits().idleConnectionTimeoutUs() >= 0, "ceilings.conn-idle-s");
        require(settings.limits().streamsPerConnection() >= 0, "ceilings.multiplex");
        require(settings.rules().answerSlackUs() >= 0, "rules.answer-slack-s");
        require(settings.rules().askWithinUs() >= 0, "rules.ask-within-s");
    }

    private static void require(boolean isValid, String field) {
        if (!isValid) {
            throw new IllegalArgumentException("bad setting: " + field);
        }
    }
}
