/**
 * Load-balancing decisions for proxies: {@link myrtleladder.loadbalancer.policy.LoadBalancer} is
 * the interface.
 */
package myrtleladder.loadbalancer.policy;
