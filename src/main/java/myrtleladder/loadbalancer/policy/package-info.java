/**
 * Load-balancing decisions for proxies: {@link myrtleladder.loadbalancer.policy.Balancer} is the
 * interface.
 */
package myrtleladder.loadbalancer.policy;
