/**
 * Maintenance of machines in an order that the balancers agree on. Pure: no socket and no clock.
 *
 * <p>The way of a plan: an operator's request becomes {@link
 * myrtleladder.maintenance.OperatorCommand}s, which {@link
 * myrtleladder.maintenance.MaintenanceCoordinator} proposes to the log. {@link
 * myrtleladder.maintenance.MaintenanceStateMachine} applies them in all processes and keeps a
 * {@link myrtleladder.maintenance.MaintenanceJob} for each machine. The leader's {@code
 * MaintenanceScheduler} proposes whose turn it is and, once all senders have reported to keep away,
 * the permit; {@code SendLeaseManager} makes sure that nobody else sends there. The worker reports
 * the end with the permit's token, and the scheduler takes the machine back. See {@code
 * docs/work.md}.
 */
package myrtleladder.maintenance;
