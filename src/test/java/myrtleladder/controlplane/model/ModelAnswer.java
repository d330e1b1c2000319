package myrtleladder.controlplane.model;

/** What a control node answered to a caller from outside. */
record ModelAnswer(int status, String location, byte[] body) {}
