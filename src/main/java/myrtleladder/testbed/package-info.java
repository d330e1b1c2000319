/**
 * The project's own ground for experiments: stand-ins for the systems served, faults between
 * processes, checks. Nothing that serves requests knows it; its design is in docs/lab.md.
 */
package myrtleladder.testbed;
