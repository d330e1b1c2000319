package myrtleladder.protocol;

/** A message of the protocol that the fleet's processes speak among themselves. */
public interface Message {}
