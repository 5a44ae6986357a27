import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/** A worker at a fixed address. It can crash and start again, as a process does whose machine goes on. */
final class Worker implements AutoCloseable {
    /** Handles one request on its connection. */
    interface Script {
        void serve(Worker worker, Http.Request request, Socket socket) throws Exception;
    }

    final String id;
    final String service;
    private final Store store;
    private final String host;
    private final Script script;
    private final Set<Socket> sockets = Collections.synchronizedSet(new HashSet<>());
    private ServerSocket server;
    private int port;
    private int sequence;
    private long born;
    private volatile boolean isUp;

    /** Milliseconds after which an idle connection is dropped without notice, or 0 for never. */
    volatile int dropIdleAfter;

    Worker(Store store, String host, String id, String service, Script script) throws IOException {
        this.store = store;
        this.host = host;
        this.id = id;
        this.service = service;
        this.script = script;
        start();
    }

    boolean isUp() {
        return isUp;
    }

    String address() {
        return host + ":" + port;
    }

    /** Starts a new incarnation, which registers itself. */
    synchronized void start() throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(host, port), 256);
        server = listener;
        port = listener.getLocalPort();
        born = System.currentTimeMillis();
        sequence = 0;
        isUp = true;
        register("ready");
        daemon(() -> accept(listener));
    }

    /** Writes the worker's entry, as it does every heartbeat. */
    synchronized void register(String state) {
        store.put("keyed.servers", id, entry(state));
    }

    /** The worker's next entry. */
    synchronized String entry(String state) {
        sequence++;
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"a\",\"version\":\"v1\","
            + "\"slots\":16,\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":"
            + born + "}";
    }

    /** Ends as a process that crashes: new connections are refused, open ones are reset. */
    synchronized void crash() {
        if (!isUp) return;
        isUp = false;
        try {
            server.close();
        } catch (IOException ignored) {
            // It is closed.
        }
        synchronized (sockets) {
            sockets.forEach(Worker::reset);
        }
    }

    /** Is back after [milliseconds], as a new incarnation under the same id. */
    void restartAfter(int milliseconds) {
        daemon(() -> {
            Thread.sleep(milliseconds);
            start();
        });
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException ignored) {
            // It is closed.
        }
    }

    static void daemon(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception ignored) {
                // The connection or the process has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    interface Action {
        void run() throws Exception;
    }

    private void accept(ServerSocket listener) throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            daemon(() -> {
                try {
                    serve(socket);
                } finally {
                    sockets.remove(socket);
                    socket.close();
                }
            });
        }
    }

    private void serve(Socket socket) throws Exception {
        boolean isFirst = true;
        while (isUp) {
            // Dropped without notice: nothing is sent until something arrives, which is then reset.
            long idleSince = System.nanoTime();
            socket.setSoTimeout(0);
            java.io.PushbackInputStream in = new java.io.PushbackInputStream(socket.getInputStream(), 1);
            int first = in.read();
            if (first < 0) return;
            long idle = (System.nanoTime() - idleSince) / 1_000_000;
            if (!isFirst && dropIdleAfter > 0 && idle >= dropIdleAfter) {
                reset(socket);
                return;
            }
            in.unread(first);
            Http.Request request = Http.request(in);
            if (request == null) return;
            isFirst = false;
            script.serve(this, request, socket);
        }
    }

    /** A complete, signed answer. */
    static void answer(Socket socket, String id, String body) throws IOException {
        answer(socket, id, "200 OK", "", body);
    }

    static void answer(Socket socket, String id, String status, String extra, String body) throws IOException {
        socket.getOutputStream().write(("HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: s-" + id
            + "\r\n" + extra + "Content-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    @Override
    public void close() {
        crash();
    }
}
