package myrtleladder.cluster;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import myrtleladder.gossip.GossipSettings;
import myrtleladder.gossip.MemberMetadata;
import org.junit.jupiter.api.Test;

/** The end of a process that is a member. */
class MembershipRuntimeTest {
    @Test
    void leavingAfterTheLoopHasEndedFailsQuietly() {
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        FleetConfiguration configuration =
                new FleetConfiguration(
                        GossipSettings.of("dhaka"),
                        "b0",
                        new InetSocketAddress("127.0.0.1", 0),
                        List.of(),
                        Map.of(),
                        MemberMetadata.NONE);
        MembershipRuntime member = MembershipRuntime.start(group.next(), configuration);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        assertDoesNotThrow(member::leave);
    }
}
