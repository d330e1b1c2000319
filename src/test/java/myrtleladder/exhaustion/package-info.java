/**
 * Processes of the system under clients that ignore limits: they must neither end nor hang, stay
 * within the memory and the descriptors of their machine, and answer ordinary callers.
 */
package myrtleladder.exhaustion;
