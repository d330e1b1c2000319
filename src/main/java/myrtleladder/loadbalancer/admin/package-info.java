/**
 * Interfaces for operators: the command line {@code bin/myrtleladder}, the TOML configuration, the
 * log as JSON lines, and the HTTP server with metrics and the status of the fleet. docs/command.md
 * describes them. Compatibility tests pin texts, exit statuses, paths, keys and names of metrics.
 *
 * <p>A start by the platform ({@code java -jar ... serve}) loads no class of this package. This
 * package may use all others, and no other may use it.
 *
 * <p>Threading: the admin server has one thread. It queries the load balancer and the fleet on
 * their event loop and blocks until the result arrives. Commands run on the main thread.
 */
package myrtleladder.loadbalancer.admin;
