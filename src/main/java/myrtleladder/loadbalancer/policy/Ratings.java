package myrtleladder.loadbalancer.policy;

/** What an upstream's rating means. */
public enum Ratings {
    NONE,
    NOMINAL,
    ROUGH,
    LIVE
}
