package myrtleladder.loadbalancer.policy;

/** Prices in points of the result, for each unit of what they are charged on. */
public record Prices(
        double crossZone,
        double waste,
        double probe,
        double peer,
        double lateFail,
        double handshake) {}
