/**
 * The operator's configuration: the JSON document, patches to it, and its validated, typed form.
 */
package myrtleladder.configuration;
