import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The calls from one machine to another, passed on by a proxy. While the link is cut, the proxy holds
 * back all bytes in both directions and opens no connection; afterwards everything goes on.
 */
final class Link {
    private final ServerSocket server = new ServerSocket();
    private final InetSocketAddress target;
    private boolean cut;

    Link(String ip, int port, String targetIp) throws IOException {
        target = new InetSocketAddress(targetIp, port);
        server.bind(new InetSocketAddress(ip, port), 200);
        Lab.daemon(this::accept);
    }

    synchronized void cut() {
        cut = true;
    }

    synchronized void heal() {
        cut = false;
        notifyAll();
    }

    private synchronized void awaitHealed() {
        while (cut) {
            try {
                wait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket caller = server.accept();
                Lab.daemon(() -> serve(caller));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket caller) {
        Socket callee = new Socket();
        try {
            caller.setTcpNoDelay(true);
            callee.setTcpNoDelay(true);
            awaitHealed();
            callee.connect(target, 1000);
            Lab.daemon(() -> pump(callee, caller));
            pump(caller, callee);
        } catch (IOException e) {
            close(caller);
            close(callee);
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] bytes = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                awaitHealed();
                out.write(bytes, 0, n);
            }
        } catch (IOException e) {
            // one side has closed
        }
        awaitHealed();
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // it is closed
        }
    }
}
