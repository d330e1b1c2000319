package myrtleladder.loadbalancer.policy;

/** Checks settings before a module is built on them; it decides nothing. */
public final class SettingsCheck {
    private SettingsCheck() {}

    /** Refuses bad settings with the name of the field. */
    public static void check(Settings s) {
        require(!s.classes().isEmpty(), "classes");
        require(s.zones() >= 1, "zones");
        require(s.zone() >= 0 && s.zone() < s.zones(), "zone");
        require(s.groupSize() >= 1, "groupSize");
        require(s.position() >= 0, "position");
        require(s.overShareFactor() >= 0, "overShareWorth");
        require(s.tickUs() >= 0, "tick");
        for (RequestClass c : s.classes()) {
            require(c.latencyTargetUs() > 0, "classes.aim");
            require(c.timeoutUs() > 0, "classes.giveUp");
            require(c.priorityWeight() >= 0, "classes.worth");
            require(c.lateFactor() >= 0, "classes.lateWorth");
            require(c.memorySpanUs() >= 0, "classes.memorySpan");
            require(c.latencyTargetStretch() >= 0, "classes.aimStretch");
        }
        for (Tenant t : s.tenants()) {
            require(t.allowance() >= 0, "tenants.allowance");
            require(t.share() >= 0, "tenants.share");
        }
        require(s.limits().maxAttempts() >= 1, "limits.maxAttempts");
        require(s.limits().maxOpen() >= 0, "limits.maxOpen");
        require(
                s.rules().startCapacity() >= 0 && s.rules().startCapacity() <= 1,
                "rules.startCapacity");
        require(s.rules().slowStartUs() >= 0, "rules.coldTime");
        require(s.rules().drainGraceUs() >= 0, "rules.drainGrace");
        require(s.rules().overloadMultiple() >= 0, "rules.fallMultiple");
        require(s.rules().overloadWindowUs() >= 0, "rules.fallTime");
        require(s.prices().probe() >= 0, "prices.probe");
        require(s.prices().peer() >= 0, "prices.peer");
        require(s.prices().crossZone() >= 0, "prices.crossZone");
        require(s.prices().waste() >= 0, "prices.waste");
        require(s.prices().lateFail() >= 0, "prices.lateFail");
        require(s.prices().handshake() >= 0, "prices.handshake");
        require(s.limits().maxRetryAfterUs() >= 0, "limits.maxRetryAfter");
        require(s.limits().connectTimeoutUs() >= 0, "limits.connectTimeout");
        require(s.limits().connectIdleUs() >= 0, "limits.connectIdle");
        require(s.limits().streamsPerConnection() >= 0, "limits.streamsPerConnection");
        require(s.rules().answerSlackUs() >= 0, "rules.answerSlack");
        require(s.rules().askWithinUs() >= 0, "rules.askWithin");
    }

    private static void require(boolean good, String field) {
        if (!good) {
            throw new IllegalArgumentException("bad setting: " + field);
        }
    }
}
