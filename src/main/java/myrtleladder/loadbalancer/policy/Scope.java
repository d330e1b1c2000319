package myrtleladder.loadbalancer.policy;

/**
 * Which upstreams discard the repeat of a keyed request: all, those of one zone, or those of one
 * cell.
 */
public enum Scope {
    ALL,
    ZONE,
    CELL
}
