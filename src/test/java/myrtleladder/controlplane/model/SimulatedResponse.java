package myrtleladder.controlplane.model;

/** What a control node answered to a caller from outside. */
record SimulatedResponse(int status, String location, byte[] body) {}
