package myrtleladder.controlplane;

import java.util.List;
import myrtleladder.protocol.InFlightRequests;
import myrtleladder.protocol.PollRequest;

/** Builds a poll of balancer {@code e}; by default its first poll, without known state. */
final class PollRequestBuilder {
    private final PollRequest poll = new PollRequest();

    PollRequestBuilder() {
        poll.balancer = "e";
        poll.address = "e:1";
    }

    PollRequestBuilder epoch(long epoch) {
        poll.epoch = epoch;
        return this;
    }

    PollRequestBuilder generation(long generation) {
        poll.generation = generation;
        return this;
    }

    PollRequestBuilder instanceRevision(long revision) {
        poll.instanceRevision = revision;
        return this;
    }

    PollRequestBuilder authoritativeList() {
        poll.hasAuthoritativeList = true;
        return this;
    }

    PollRequestBuilder immediate() {
        poll.immediate = true;
        return this;
    }

    PollRequestBuilder inFlight(InFlightRequests... requests) {
        poll.inFlightAtDraining.addAll(List.of(requests));
        return this;
    }

    PollRequest build() {
        return poll;
    }
}
