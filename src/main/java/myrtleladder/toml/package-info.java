/**
 * Deserialises TOML files into records; errors name the file, line and key. These classes are not
 * loaded when the load balancer starts from the platform's configuration file.
 */
package myrtleladder.toml;
