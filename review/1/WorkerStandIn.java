import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker as PROTOCOL.md describes it. What it does instead of a sound answer is set by {@link #trouble}. */
final class WorkerStandIn implements AutoCloseable {
    /** Answers one request unsoundly. Returns false if the request is to be answered soundly. */
    interface Trouble {
        boolean answer(Http.Head request, OutputStream output) throws IOException, InterruptedException;
    }

    final String id;
    final String service;
    private final int slots;
    private final int events;
    private final Record record;
    private final ServerSocket server;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    volatile Trouble trouble;

    /** @param events events of a stream; 0 for a service with plain answers */
    WorkerStandIn(String host, String id, String service, int slots, int events, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.events = events;
        this.record = record;
        free = new Semaphore(slots, true);
        server = new ServerSocket(0, 256, InetAddress.getByName(host));
        start(() -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                start(() -> serve(socket));
            }
        });
    }

    /** The entry of this worker in the platform's store. */
    String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + server.getInetAddress().getHostAddress() + ":"
            + server.getLocalPort() + "\",\"zone\":\"a\",\"version\":\"1\",\"slots\":" + slots
            + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1700000000000}";
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException ended) {
                // The connection has ended.
            } catch (Exception failure) {
                failure.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            while (true) {
                Http.Head request = Http.readHead(input);
                if (request == null || Http.readBody(input, request) == null) return;
                if (!answer(request, output)) return;
            }
        }
    }

    private boolean answer(Http.Head request, OutputStream output) throws Exception {
        String attempt = request.header("Attempt-Id");
        String common = (attempt == null ? "" : "Attempt-Id: " + attempt + "\r\n")
            + "Instance-Load: " + (slots - free.availablePermits()) + "," + waiting.get() + "," + slots + "\r\n"
            + "Keep-Alive: timeout=10\r\n";
        if (request.line().startsWith("GET /healthz")) {
            write(output, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\n" + common + "Content-Length: 0\r\n\r\n");
            return true;
        }
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            write(output, "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n" + common + "Content-Length: 0\r\n\r\n");
            return true;
        }
        if (waiting.get() >= 4 * slots) {
            write(output, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + common + "Content-Length: 0\r\n\r\n");
            return true;
        }
        waiting.incrementAndGet();
        free.acquire();
        waiting.decrementAndGet();
        try {
            record.add("run " + attempt + " at " + id + " " + request.line());
            Trouble active = trouble;
            if (active != null && active.answer(request, output)) return false;
            String signed = common + "Response-Stamp: " + id + "." + attempt + "\r\n";
            if (events == 0) {
                Thread.sleep(60);
                byte[] body = "x".repeat(800).getBytes(StandardCharsets.US_ASCII);
                write(output, "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: " + body.length + "\r\n\r\n");
                output.write(body);
            } else {
                stream(request, output, signed);
            }
            return true;
        } finally {
            free.release();
        }
    }

    private void stream(Http.Head request, OutputStream output, String signed) throws IOException, InterruptedException {
        String last = request.header("Last-Event-Id");
        write(output, "HTTP/1.1 200 OK\r\n" + signed + "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= events; event++) {
            Thread.sleep(20);
            String text = "id: " + event + "\ndata: " + "t".repeat(50) + "\n\n";
            write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        write(output, "0\r\n\r\n");
    }

    static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
