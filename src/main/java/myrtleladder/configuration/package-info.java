/** The operator's configuration: the JSON document, changes to it, and its typed, checked form. */
package myrtleladder.configuration;
