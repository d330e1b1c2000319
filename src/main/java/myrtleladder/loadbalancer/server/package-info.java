/**
 * The load balancer server: an HTTP/1.1 reverse proxy around the decision module of {@code
 * myrtleladder.loadbalancer.policy}.
 *
 * <ul>
 *   <li>Clients: {@link myrtleladder.loadbalancer.server.LoadBalancerServer} listens, {@link
 *       myrtleladder.loadbalancer.server.ClientSession} is one connection.
 *   <li>Decisions: {@link myrtleladder.loadbalancer.server.BalancerRuntime} owns the decision
 *       module and executes its actions: requests by {@link
 *       myrtleladder.loadbalancer.server.RequestDispatcher}, probes by {@link
 *       myrtleladder.loadbalancer.server.ProbeSender}.
 *   <li>Upstreams: {@link myrtleladder.loadbalancer.server.UpstreamConnectionPool} manages
 *       connections, each of which carries one {@link myrtleladder.loadbalancer.server.Exchange} at
 *       a time.
 *   <li>Discovery: {@link myrtleladder.loadbalancer.server.DiscoveryClient} follows the endpoint
 *       list.
 *   <li>Process: {@link myrtleladder.loadbalancer.server.Main} handles the command line and
 *       signals, {@link myrtleladder.loadbalancer.server.Warmup} the warm-up run.
 * </ul>
 *
 * <p>A balancer is confined to one event loop: unless documented otherwise, methods are called only
 * on that loop and must not block.
 */
package myrtleladder.loadbalancer.server;
