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

/** Transport of connections: TCP, or in-memory channels for the warm-up run. */
enum Transport {
    /** TCP through java.nio. */
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

    /** Netty's local channels, within the process and without file descriptors. */
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

    /** Maximum number of connections that wait in the kernel to be accepted. */
    private static final int BACKLOG = 1024;

    /** Returns a bootstrap for connections; the caller sets the handler. */
    abstract Bootstrap client(EventLoop loop);

    /** Returns a bootstrap for listeners; the caller sets the child handler. */
    abstract ServerBootstrap server(EventLoop loop);

    /** Converts an address of the configuration to one of this transport. */
    abstract SocketAddress address(InetSocketAddress address);
}
