/**
 * The balancer: an HTTP reverse proxy for model services and others.
 *
 * <p>The way of a request: {@link myrtleladder.dataplane.RequestRouter} matches its route and
 * acquires the tenant's quota ({@link myrtleladder.dataplane.TenantQuotaClient}); {@link
 * myrtleladder.dataplane.ProxiedRequest} picks an upstream ({@link
 * myrtleladder.dataplane.UpstreamPicker}), asks the {@link
 * myrtleladder.dataplane.AdmissionController}, makes an {@link myrtleladder.dataplane.Attempt} on a
 * connection of the {@link myrtleladder.dataplane.ConnectionPool}, and ends with the upstream's
 * response ({@link myrtleladder.dataplane.ResponseAssembler}), another attempt ({@link
 * myrtleladder.dataplane.RetryPolicy}) or a rejection.
 *
 * <p>Beside requests, {@link myrtleladder.dataplane.ControlPoller} receives the configuration and
 * the upstreams from the control plane, and {@link myrtleladder.dataplane.FleetLoadSync} exchanges
 * loads and cached prompts with the other balancers.
 *
 * <p>All of it runs on one event loop; nothing here is safe for use by several threads. Names that
 * end in {@code Ms} are milliseconds, points in time by the scheduler's monotonic clock.
 */
package myrtleladder.dataplane;
