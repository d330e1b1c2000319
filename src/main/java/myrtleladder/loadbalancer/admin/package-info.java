/**
 * For operators: the command line {@code bin/myrtleladder}, the operators' TOML configuration, the
 * log as JSON lines, and the HTTP server with metrics and the status of the fleet. docs/command.md
 * describes them; texts, exit statuses, paths, keys and names of metrics are pinned by the
 * compatibility tests.
 *
 * <p>The platform's own start ({@code java -jar ... serve}) loads nothing of this package. It may
 * use all others, and no other may use it.
 *
 * <p>Threading: the admin server has one thread; whatever it asks of the load balancer or the fleet
 * is read on their event loop, for which it waits. Commands run on the main thread.
 */
package myrtleladder.loadbalancer.admin;
