/**
 * Membership of the processes of a fleet: failure detection, suspicion and dissemination.
 *
 * <p>Protocol: SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
 * Process Group Membership Protocol", DSN 2002) with the local health and the suspicion timeouts of
 * Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: SWIM-ing with Situational Awareness", 2017).
 * Added here: anti-entropy by digests of the member table, a final probe of a suspect before it is
 * declared dead, and the detection of two processes with one name. docs/membership.md has the
 * messages, the timers and what the protocol promises.
 *
 * <p>{@link myrtleladder.gossip.Membership} is the only entry point. The package has no socket,
 * clock or thread: datagrams, timers and the time in microseconds are passed in, and what is to be
 * done goes to {@link myrtleladder.gossip.Membership.Output}.
 *
 * <p>Threading: an instance is confined to one thread, in a running process the event loop. The
 * records that it hands out are immutable and may be shared.
 */
package myrtleladder.gossip;
