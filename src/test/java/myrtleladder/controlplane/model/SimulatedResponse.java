package myrtleladder.controlplane.model;

/**
 * The response of a control node to an external client.
 *
 * @param status the HTTP status, 0 if the connection was refused
 * @param location the target of a redirect, empty without one
 */
record SimulatedResponse(int status, String location, byte[] body) {
    private static final int CONNECTION_REFUSED = 0;

    static SimulatedResponse connectionRefused() {
        return new SimulatedResponse(CONNECTION_REFUSED, "", new byte[0]);
    }
}
