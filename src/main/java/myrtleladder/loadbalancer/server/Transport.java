package myrtleladder.loadbalancer.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** What connections are made over: TCP, or the memory of this process for the warm-up run. */
enum Transport {
    /** TCP, by java.nio. */
    TCP {
        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        ServerBootstrap server(EventLoop loop) {
            return new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        SocketAddress address(InetSocketAddress address) {
            return address;
        }
    },

    /** Local channels: nothing leaves the process, and no descriptor is used. */
    MEMORY {
        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channel(LocalChannel.class);
        }

        @Override
        ServerBootstrap server(EventLoop loop) {
            return new ServerBootstrap().group(loop).channel(LocalServerChannel.class);
        }

        @Override
        SocketAddress address(InetSocketAddress address) {
            return new LocalAddress(address.toString());
        }
    };

    /** Connections that the kernel holds until they are accepted. */
    private static final int BACKLOG = 1024;

    /** A bootstrap for connections; the caller sets the handler. */
    abstract Bootstrap client(EventLoop loop);

    /** A bootstrap for listeners; the caller sets the child handler. */
    abstract ServerBootstrap server(EventLoop loop);

    /** This transport's address for an address of the configuration. */
    abstract SocketAddress address(InetSocketAddress address);
}
