/**
 * Checks a run of the test bed: follows each request from the client to the upstreams and back, and
 * reports each violation of a rule with the id of the request or upstream.
 *
 * <p>This is the lowest layer of the test bed: it knows neither sockets nor processes, takes time
 * as an argument, and is called by the fakes of {@code testbed.fake} and the fleet of {@code
 * testbed.process}.
 */
package myrtleladder.testbed.checker;
