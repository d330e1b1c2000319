/**
 * Reads TOML files into records, with errors that name file, line and key. Not loaded when the load
 * balancer starts on the platform's configuration.
 */
package myrtleladder.toml;
