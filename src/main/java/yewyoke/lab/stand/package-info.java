/** Stand-ins for what surrounds a balancer, written from the protocol. */
package yewyoke.lab.stand;
