package myrtleladder.controlplane.model;

/**
 * A guard of the protocol that a run of the model may go without, to show that the model notices.
 * Each is taken out at the edges of the code under test: in what the disk, the network or the
 * process's start does.
 */
enum Safeguard {
    /** An answer waits until the disk has synced. */
    SYNC_BEFORE_ANSWER,
    /** A view is told only once its replicas have the state. */
    COPY_BEFORE_VIEW,
    /** A view counts only once a majority stored it. */
    MAJORITY_OF_THE_GROUP,
    /** The majority of the group before a change counts too. */
    MAJORITY_OF_THE_GROUP_BEFORE,
    /** Messages of lower epochs are refused. */
    EPOCH_IN_EACH_MESSAGE,
    /** A read waits for the word of a majority. */
    ROUND_TRIP_BEFORE_A_READ,
    /** A node that lost its disk is another member. */
    STORE_IDENTITY,
    /** An order that arrives again is known by its digest. */
    DIGEST_OF_AN_ORDER,
    /** A silent member leaves the group, at the latest when a joiner comes. */
    SWAP_AT_ADMISSION,
    /** A node that is asked to end waits until the group goes on without it. */
    LEAVE_BEFORE_THE_END,
    /** A departure is on the disks of all replicas before it is acknowledged. */
    DURABLE_DEPARTURE
}
