/**
 * Load-balancing decisions for proxies, without I/O, clocks or threads. {@link
 * myrtleladder.loadbalancer.policy.LoadBalancer} is the interface: events come in as method calls
 * with their time, decisions go out through its {@code Actions}. {@link
 * myrtleladder.loadbalancer.policy.UtilisationLoadBalancer} implements it and hands each event to
 * the classes of this package.
 *
 * <h2>The way of a request</h2>
 *
 * <ol>
 *   <li>It arrives: {@code RequestState} is created with a cost and a priority ({@code
 *       TenantShares}), and {@code OpenRequests} puts it into the {@code RequestQueue} and the
 *       {@code DeadlineTimer}. {@code KeyAffinity} determines the upstream of its key.
 *   <li>Where loads are probed before a pick, {@code OnDemandProber} asks the subset first.
 *   <li>{@code RequestDispatcher} takes the queue in order of priority and has {@code
 *       WeightedLeastLoadPicker} pick an upstream for each. Candidates are the subset of {@code
 *       RendezvousSubsetting}, less what is excluded by {@code UpstreamEligibility} (after {@code
 *       RetryPolicy}, {@code OutlierEjection}, {@code OnDemandProber} and {@code SlowStart}) and by
 *       {@code AdmissionControl} (which asks {@code ConcurrencyLimiter} where the load of other
 *       balancers is not known).
 *   <li>The attempt is sent, and {@code PeerLoadExchange} reports the upstream's load to the peers
 *       that share it.
 *   <li>Its end goes to {@code OutcomeRecorder}, which updates health, limits and {@code
 *       RequestStatistics}. An attempt that failed is followed by a retry, or by a final answer of
 *       {@code OpenRequests}.
 *   <li>A periodic sweep finishes what is close to its deadline, ejects hanging upstreams, sheds
 *       late requests, hedges ({@code HedgingPolicy}), updates the weights ({@code WeightUpdater}),
 *       renews the subscription ({@code EndpointSubscription}) and probes ({@code PeriodicProber}).
 * </ol>
 *
 * <h2>Where the mechanism is from</h2>
 *
 * <p>Weights follow utilisation by its distance from the mean ({@link
 * myrtleladder.loadbalancer.policy.UtilisationWeights}), and picks follow weight / (in-flight +
 * 1)^bias, as in weighted least-request balancing. The load balancer draws in that proportion; the
 * data plane takes the earliest deadline first ({@link
 * myrtleladder.loadbalancer.policy.EarliestDeadlineFirstScheduler}). docs/system.md describes how
 * the data plane uses both.
 *
 * <p>Times and durations are microseconds. No class is safe for use by several threads at once: all
 * are confined to the thread that calls the load balancer.
 */
package myrtleladder.loadbalancer.policy;
