/**
 * Load-balancing decisions for proxies, without I/O, clocks or threads of its own. {@link
 * myrtleladder.loadbalancer.policy.LoadBalancer} is the interface: events come in as method calls
 * with their time, decisions go out through its {@code Actions}. {@link
 * myrtleladder.loadbalancer.policy.UtilisationLoadBalancer} implements it and passes each event to
 * the classes of this package.
 *
 * <h2>Life cycle of a request</h2>
 *
 * <ol>
 *   <li>The request arrives. {@code RequestState} is created with a cost and a priority, which is
 *       lower beyond the tenant's rate limit ({@code TenantTokenBuckets}). {@code OpenRequests}
 *       adds it to the {@code RequestQueue} and the {@code DeadlineTimer}. {@code KeyAffinity}
 *       determines the upstream of its key.
 *   <li>If loads are probed before a pick, {@code OnDemandProber} probes the subset.
 *   <li>{@code RequestDispatcher} goes through the queue in order of priority and has {@code
 *       WeightedLeastLoadPicker} pick an upstream for each request. Candidates are the upstreams of
 *       the subset ({@code RendezvousSubsetting}) that {@code UpstreamEligibility} and {@code
 *       AdmissionControl} let through. Eligibility depends on {@code RetryPolicy}, {@code
 *       OutlierEjection}, {@code OnDemandProber} and {@code SlowStart}; admission on the load, or
 *       on {@code ConcurrencyLimiter} if the load of other balancers is unknown.
 *   <li>The attempt is sent, and {@code PeerLoadExchange} reports the upstream's load to the peers
 *       that share it.
 *   <li>When the attempt ends, {@code OutcomeRecorder} updates health, limits and {@code
 *       RequestStatistics}. A failed attempt is followed by a retry, or by a final answer from
 *       {@code OpenRequests}.
 *   <li>A periodic sweep gives final answers to requests close to their deadlines, ejects hanging
 *       upstreams, sheds late requests, hedges ({@code HedgingPolicy}), updates the weights ({@code
 *       WeightUpdater}), renews the subscription ({@code EndpointSubscription}) and probes ({@code
 *       PeriodicProber}).
 * </ol>
 *
 * <h2>The algorithm</h2>
 *
 * <p>The weight of an upstream changes by the distance of its utilisation from the mean ({@link
 * myrtleladder.loadbalancer.policy.UtilisationWeights}). Picks are in proportion to weight /
 * (in-flight + 1)^bias, as in weighted least-request balancing. The load balancer draws at random
 * in that proportion; the data plane uses earliest deadline first scheduling ({@link
 * myrtleladder.loadbalancer.policy.EarliestDeadlineFirstScheduler}). docs/system.md describes how
 * the data plane uses both.
 *
 * <p>Times and durations are microseconds. No class is safe for use by several threads at once: all
 * are confined to the thread that calls the load balancer.
 */
package myrtleladder.loadbalancer.policy;
