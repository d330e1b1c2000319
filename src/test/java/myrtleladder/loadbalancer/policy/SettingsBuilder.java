package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/** Builds settings for tests, with defaults. May be changed and built again. */
final class SettingsBuilder {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;

    private int groupSize = 1;
    private int zones = 3;
    private boolean hedging;
    private long maxRetryAfterUs;
    private boolean cancellation = true;
    private boolean probing = true;
    private boolean peerMessages;
    private double probePrice = 0.01;
    private int position;
    private LoadReportSource loadReportSource = LoadReportSource.RESPONSES;
    private CapacityRatingKind ratingKind = CapacityRatingKind.NONE;
    private double crossZonePrice;
    private boolean listSubscriptionRequired;
    private boolean keyAffinity;
    private boolean streaming;
    private long tickUs = 5 * MILLISECOND_US;
    private double lateValueFactor = 0.5;
    private List<Tenant> tenants = List.of();
    private DeduplicationScope deduplicationScope = DeduplicationScope.ZONE;

    SettingsBuilder groupSize(int value) {
        this.groupSize = value;
        return this;
    }

    SettingsBuilder zones(int value) {
        this.zones = value;
        return this;
    }

    SettingsBuilder hedging(boolean value) {
        this.hedging = value;
        return this;
    }

    SettingsBuilder maxRetryAfterUs(long value) {
        this.maxRetryAfterUs = value;
        return this;
    }

    SettingsBuilder cancellation(boolean value) {
        this.cancellation = value;
        return this;
    }

    SettingsBuilder probing(boolean value) {
        this.probing = value;
        return this;
    }

    SettingsBuilder peerMessages(boolean value) {
        this.peerMessages = value;
        return this;
    }

    SettingsBuilder probePrice(double value) {
        this.probePrice = value;
        return this;
    }

    SettingsBuilder position(int value) {
        this.position = value;
        return this;
    }

    SettingsBuilder loadReportSource(LoadReportSource value) {
        this.loadReportSource = value;
        return this;
    }

    SettingsBuilder ratingKind(CapacityRatingKind value) {
        this.ratingKind = value;
        return this;
    }

    SettingsBuilder crossZonePrice(double value) {
        this.crossZonePrice = value;
        return this;
    }

    SettingsBuilder listSubscriptionRequired(boolean value) {
        this.listSubscriptionRequired = value;
        return this;
    }

    SettingsBuilder keyAffinity(boolean value) {
        this.keyAffinity = value;
        return this;
    }

    SettingsBuilder streaming(boolean value) {
        this.streaming = value;
        return this;
    }

    SettingsBuilder tickUs(long value) {
        this.tickUs = value;
        return this;
    }

    SettingsBuilder lateValueFactor(double value) {
        this.lateValueFactor = value;
        return this;
    }

    SettingsBuilder tenants(List<Tenant> value) {
        this.tenants = value;
        return this;
    }

    SettingsBuilder deduplicationScope(DeduplicationScope value) {
        this.deduplicationScope = value;
        return this;
    }

    /**
     * Builds settings with one request class for each {@link Idempotency}: 0 idempotent, 1
     * idempotent by key, 2 not idempotent.
     */
    Settings build() {
        List<RequestClass> classes = new ArrayList<>();
        for (Idempotency effect : Idempotency.values()) {
            classes.add(
                    new RequestClass(
                            SECOND_US / 2,
                            0,
                            2 * SECOND_US,
                            1 + effect.ordinal(),
                            lateValueFactor,
                            effect,
                            deduplicationScope,
                            SECOND_US,
                            streaming));
        }
        return new Settings(
                0,
                zones,
                position,
                groupSize,
                classes,
                tenants,
                0.2,
                true,
                new Limits(
                        4,
                        hedging,
                        probing,
                        cancellation,
                        peerMessages,
                        20_000,
                        maxRetryAfterUs > 0,
                        maxRetryAfterUs,
                        SECOND_US / 4,
                        10 * SECOND_US,
                        1),
                new RuleParameters(
                        20 * MILLISECOND_US,
                        10 * SECOND_US,
                        0.2,
                        20 * SECOND_US,
                        SECOND_US,
                        3,
                        2 * SECOND_US),
                new Prices(crossZonePrice, 0.1, probePrice, 0.01, 0.05, 0),
                loadReportSource,
                ratingKind,
                listSubscriptionRequired,
                keyAffinity,
                tickUs);
    }
}
