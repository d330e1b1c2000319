package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.eventloop.NetworkException;
import myrtleladder.process.Address;
import myrtleladder.process.InternalNetwork;
import myrtleladder.process.NodeSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The start of a control node. */
class ControlNodeTest {
    private static final String HOST = "127.0.0.1";

    @TempDir Path folder;

    @Test
    void startFailsIfAnAddressCannotBeBound() throws IOException {
        EventLoop loop = new EventLoop();
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            NodeSettings settings = settings(occupied.getLocalPort());
            assertThrows(
                    NetworkException.class,
                    () ->
                            ControlNode.start(
                                    settings, loop, new StateStore(folder), new TallyLog(folder)));
        } finally {
            loop.stop();
        }
    }

    private static NodeSettings settings(int port) {
        Address self = new Address(HOST, port);
        return new NodeSettings(
                "n",
                "r",
                HOST,
                "z",
                "",
                Map.of(),
                port,
                List.of(self),
                true,
                1_200,
                "",
                null,
                null,
                self,
                0,
                0,
                new NodeSettings.Limits(256, 1_024),
                new NodeSettings.Bounds(
                        2_000, 2_000, 8_000, 0.2, 10_000, 52, 3_000, 0.1, 100, 4_000, 0, 1, 0),
                InternalNetwork.direct(self));
    }
}
