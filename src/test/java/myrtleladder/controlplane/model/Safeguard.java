package myrtleladder.controlplane.model;

/**
 * A safeguard of the protocol that a simulation may go without, to show that the simulation
 * notices. Each is removed at the edges of the code under test: in what the disk, the network or
 * the start of the process does.
 */
enum Safeguard {
    /** A response waits until the disk has synced. */
    SYNC_BEFORE_ANSWER,
    /** A view holds only once its replicas have the state. */
    COPY_BEFORE_VIEW,
    /** A view holds only once a majority stored it. */
    MAJORITY_OF_GROUP,
    /** In a reconfiguration the majority of the previous group counts too. */
    MAJORITY_OF_PREVIOUS_GROUP,
    /** Messages of lower epochs are rejected. */
    EPOCH_IN_EACH_MESSAGE,
    /** A read waits for the confirmation of a majority. */
    ROUND_TRIP_BEFORE_READ,
    /** A node that lost its disk is another member. */
    STORE_IDENTITY,
    /** A change that arrives again is recognized by its digest. */
    CHANGE_DIGEST,
    /** An unresponsive member leaves the group, at the latest when a joiner comes. */
    SWAP_AT_ADMISSION,
    /** A node that is asked to end waits until the group goes on without it. */
    LEAVE_BEFORE_THE_END,
    /** A departure is on the disks of all replicas before it is acknowledged. */
    DURABLE_DEPARTURE
}
