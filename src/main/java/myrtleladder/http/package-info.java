/**
 * HTTP/1.1 (RFC 9112) over the event loop: a server, client connections, and the types that both
 * share. Parsing and framing are Grizzly's; this package adds the state of connections, limits and
 * keep-alive. All of it is confined to the event loop.
 */
package myrtleladder.http;
