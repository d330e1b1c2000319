/**
 * TOML files into records, with errors that name file, line and key; the platform's start loads
 * none.
 */
package myrtleladder.toml;
