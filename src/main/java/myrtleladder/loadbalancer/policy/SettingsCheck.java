package myrtleladder.loadbalancer.policy;

/** Validates the settings of an instance. */
public final class SettingsCheck {
    private SettingsCheck() {}

    /**
     * Checks that all settings are in range.
     *
     * @throws IllegalArgumentException if one is not; the message has its name in the settings file
     */
    public static void check(Settings s) {
        require(!s.classes().isEmpty(), "classes");
        require(s.zones() >= 1, "localities");
        require(s.zone() >= 0 && s.zone() < s.zones(), "az");
        require(s.groupSize() >= 1, "group-size");
        require(s.position() >= 0, "position");
        require(s.overShareFactor() >= 0, "over-share-worth");
        require(s.tickUs() >= 0, "tick-s");
        for (RequestClass c : s.classes()) {
            require(c.latencyTargetUs() > 0, "classes.aim-s");
            require(c.timeoutUs() > 0, "classes.give-up-s");
            require(c.priorityWeight() >= 0, "classes.worth");
            require(c.lateFactor() >= 0, "classes.late-worth");
            require(c.memorySpanUs() >= 0, "classes.memory-span-s");
            require(c.latencyTargetStretch() >= 0, "classes.aim-stretch");
        }
        for (Tenant t : s.tenants()) {
            require(t.allowance() >= 0, "parties.allowance-per-s");
            require(t.share() >= 0, "parties.share");
        }
        require(s.limits().maxAttempts() >= 1, "ceilings.try-limit");
        require(s.limits().maxOpen() >= 0, "ceilings.max-open");
        require(
                s.rules().startCapacity() >= 0 && s.rules().startCapacity() <= 1,
                "rules.start-capacity");
        require(s.rules().slowStartUs() >= 0, "rules.cold-s");
        require(s.rules().drainGraceUs() >= 0, "rules.drain-grace-s");
        require(s.rules().overloadMultiple() >= 0, "rules.fall-multiple");
        require(s.rules().overloadWindowUs() >= 0, "rules.fall-s");
        require(s.prices().probe() >= 0, "prices.probe");
        require(s.prices().peer() >= 0, "prices.peer");
        require(s.prices().crossZone() >= 0, "prices.cross-zone");
        require(s.prices().waste() >= 0, "prices.waste");
        require(s.prices().lateFail() >= 0, "prices.late-fail");
        require(s.prices().handshake() >= 0, "prices.handshake");
        require(s.limits().maxRetryAfterUs() >= 0, "ceilings.max-retry-after-s");
        require(s.limits().connectTimeoutUs() >= 0, "ceilings.connect-timeout-s");
        require(s.limits().connectIdleUs() >= 0, "ceilings.conn-idle-s");
        require(s.limits().streamsPerConnection() >= 0, "ceilings.multiplex");
        require(s.rules().answerSlackUs() >= 0, "rules.answer-slack-s");
        require(s.rules().askWithinUs() >= 0, "rules.ask-within-s");
    }

    private static void require(boolean isValid, String field) {
        if (!isValid) {
            throw new IllegalArgumentException("bad setting: " + field);
        }
    }
}
