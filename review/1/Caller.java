import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** A client that sends one request on a new connection and waits for its answer until its deadline. */
final class Caller {
    /** One request: when it was sent, and when its answer or the end of its connection came; times in milliseconds. */
    static final class Request {
        final String id;
        final String route;
        final long timeout;
        final long deadline;
        volatile double endedAfter = Double.MAX_VALUE;
        volatile int events;
        volatile String end = "no answer before the client's deadline";

        Request(String id, String route, long timeout, long deadline) {
            this.id = id;
            this.route = route;
            this.timeout = timeout;
            this.deadline = deadline;
        }
    }

    private static final AtomicLong NUMBERS = new AtomicLong(0x1000);
    final List<Request> requests = new CopyOnWriteArrayList<>();
    private final Record record;

    Caller(Record record) {
        this.record = record;
    }

    /** Sends a request in a thread of its own. */
    Thread send(InetSocketAddress router, String route, long timeout, long deadline) {
        return send(router, route, timeout, deadline, Fleet.KEY, 800, 140);
    }

    Thread send(
        InetSocketAddress router, String route, long timeout, long deadline, String key, int prompt, int output) {
        Request request = new Request(Long.toHexString(NUMBERS.incrementAndGet()), route, timeout, deadline);
        requests.add(request);
        Thread thread = new Thread(() -> call(router, request, key, prompt, output));
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void call(InetSocketAddress router, Request request, String key, int prompt, int output) {
        boolean isGet = request.route.equals("lookup");
        boolean isStream = request.route.equals("chat") || request.route.equals("review");
        String body = isGet ? "" : "b".repeat(600);
        String text = (isGet ? "GET" : "POST") + " /" + request.route + "/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
            + request.id + "\r\nDeadline-Ms: " + request.deadline + "\r\nAuthorization: Bearer " + key + "\r\n"
            + (isStream ? "Model: m\r\nToken-Usage: " + prompt + "," + output + "\r\nPrompt-Prefix: aa:200,bb" + request.id + ":" + (prompt - 200) + "\r\n" : "")
            + (isGet ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
        record.add("sent " + request.id + " " + request.route + " to " + router.getHostString());
        long sentAt = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(router, 1000);
            socket.setSoTimeout((int) request.deadline);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            InputStream input = new BufferedInputStream(socket.getInputStream());
            closeAtDeadline(socket, request.deadline);
            Http.Head head = Http.readHead(input);
            java.io.ByteArrayOutputStream received = new java.io.ByteArrayOutputStream();
            byte[] answer = head == null ? null : Http.readBody(input, head, received);
            if (isStream && head != null && head.status() == 200) {
                request.events = received.toString(StandardCharsets.US_ASCII).split("\n\n", -1).length - 1;
            }
            double after = (System.nanoTime() - sentAt) / 1e6;
            if (after < request.deadline) {
                request.end = head == null ? "closed" : head.status() + (answer == null ? " cut" : " whole");
                request.endedAfter = after;
            }
        } catch (IOException failure) {
            double after = (System.nanoTime() - sentAt) / 1e6;
            if (after < request.deadline - 5) {
                request.end = "failed: " + failure.getMessage();
                request.endedAfter = after;
            }
        }
        record.add("end  " + request.id + " " + request.route + " " + request.end);
    }

    private static void closeAtDeadline(Socket socket, long deadline) {
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(deadline);
                socket.close();
            } catch (IOException | InterruptedException ended) {
                // The connection has ended already.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
