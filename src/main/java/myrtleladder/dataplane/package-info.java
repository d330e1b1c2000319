/**
 * The data plane: an HTTP reverse proxy that balances requests for language model services and
 * other services. A process of it is called a balancer.
 *
 * <p>A request is handled as follows: {@link myrtleladder.dataplane.RequestRouter} matches its
 * route and acquires the tenant's quota ({@link myrtleladder.dataplane.TenantQuotaClient}); {@link
 * myrtleladder.dataplane.ProxiedRequest} picks an upstream ({@link
 * myrtleladder.dataplane.UpstreamPicker}), checks admission ({@link
 * myrtleladder.dataplane.AdmissionController}), makes an {@link myrtleladder.dataplane.Attempt} on
 * a connection of the {@link myrtleladder.dataplane.ConnectionPool}, and ends with the upstream's
 * response ({@link myrtleladder.dataplane.ResponseAssembler}), another attempt ({@link
 * myrtleladder.dataplane.RetryPolicy}) or a rejection.
 *
 * <p>Apart from requests, {@link myrtleladder.dataplane.ControlPoller} receives the configuration
 * and the upstreams from the control plane, and {@link myrtleladder.dataplane.FleetLoadSync}
 * exchanges loads and cached prompts with the other balancers.
 *
 * <p>All classes are confined to one event loop and are not thread-safe. Names that end in {@code
 * Ms} are milliseconds; points in time are those of the scheduler's monotonic clock.
 */
package myrtleladder.dataplane;
