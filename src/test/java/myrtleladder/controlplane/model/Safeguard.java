package myrtleladder.controlplane.model;

/**
 * A safeguard of the protocol that a simulation can remove, to show that the simulation detects its
 * absence. Each is removed outside the code under test: in the simulated disk, network or process
 * start.
 */
enum Safeguard {
    /** A response is sent only after the disk has synced. */
    SYNC_BEFORE_ANSWER,
    /** A view takes effect only once its replicas have the state. */
    COPY_BEFORE_VIEW,
    /** A view takes effect only once a majority has stored it. */
    MAJORITY_OF_GROUP,
    /** A reconfiguration also needs a majority of the previous group. */
    MAJORITY_OF_PREVIOUS_GROUP,
    /** A member promises an epoch to a single candidate. */
    ONE_PROMISE_PER_EPOCH,
    /** Messages of lower epochs are rejected. */
    EPOCH_IN_EACH_MESSAGE,
    /** A read waits until a majority has confirmed the primary. */
    ROUND_TRIP_BEFORE_READ,
    /** A node that lost its disk counts as a different member. */
    STORE_IDENTITY,
    /** A repeated change is recognized by its digest. */
    CHANGE_DIGEST,
    /** An unresponsive member is removed, at the latest when another node joins. */
    SWAP_AT_ADMISSION,
    /** A terminating node waits until the group has removed it. */
    LEAVE_BEFORE_THE_END,
    /** A departure is durable on all replicas before it is acknowledged. */
    DURABLE_DEPARTURE
}
