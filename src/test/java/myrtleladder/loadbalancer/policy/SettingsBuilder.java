package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/** Builds settings for tests, with defaults. May be changed and built again. */
final class SettingsBuilder {
    private static final long SECOND = SimulatedHost.SECOND;
    private static final long MILLI = SimulatedHost.MILLI;

    private int groupSize = 1;
    private int zones = 3;
    private boolean hedging;
    private long maxRetryAfterUs;
    private boolean cancelling = true;
    private boolean probes = true;
    private boolean peers;
    private double probePrice = 0.01;
    private int position;
    private Reports reports = Reports.IN_ANSWERS;
    private Ratings ratings = Ratings.NONE;
    private double crossZonePrice;
    private boolean askForList;
    private boolean warmKeys;
    private boolean streaming;
    private long tickUs = 5 * MILLI;
    private double lateWorth = 0.5;
    private List<Tenant> tenants = List.of();
    private Scope scope = Scope.ZONE;

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

    SettingsBuilder cancelling(boolean value) {
        this.cancelling = value;
        return this;
    }

    SettingsBuilder probes(boolean value) {
        this.probes = value;
        return this;
    }

    SettingsBuilder peers(boolean value) {
        this.peers = value;
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

    SettingsBuilder reports(Reports value) {
        this.reports = value;
        return this;
    }

    SettingsBuilder ratings(Ratings value) {
        this.ratings = value;
        return this;
    }

    SettingsBuilder crossZonePrice(double value) {
        this.crossZonePrice = value;
        return this;
    }

    SettingsBuilder askForList(boolean value) {
        this.askForList = value;
        return this;
    }

    SettingsBuilder warmKeys(boolean value) {
        this.warmKeys = value;
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

    SettingsBuilder lateWorth(double value) {
        this.lateWorth = value;
        return this;
    }

    SettingsBuilder tenants(List<Tenant> value) {
        this.tenants = value;
        return this;
    }

    SettingsBuilder scope(Scope value) {
        this.scope = value;
        return this;
    }

    /**
     * Builds settings with one request class for each {@link Idempotency}: 0 idempotent, 1 idempotent
     * by key, 2 not idempotent.
     */
    Settings build() {
        List<RequestClass> classes = new ArrayList<>();
        for (Effect effect : Effect.values()) {
            classes.add(
                    new RequestClass(
                            SECOND / 2,
                            0,
                            2 * SECOND,
                            1 + effect.ordinal(),
                            lateWorth,
                            effect,
                            scope,
                            SECOND,
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
                        probes,
                        cancelling,
                        peers,
                        20_000,
                        maxRetryAfterUs > 0,
                        maxRetryAfterUs,
                        SECOND / 4,
                        10 * SECOND,
                        1),
                new RuleFigures(20 * MILLI, 10 * SECOND, 0.2, 20 * SECOND, SECOND, 3, 2 * SECOND),
                new Prices(crossZonePrice, 0.1, probePrice, 0.01, 0.05, 0),
                reports,
                ratings,
                askForList,
                warmKeys,
                tickUs);
    }
}
