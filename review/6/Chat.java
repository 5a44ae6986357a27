import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of the stream route and the workers that serve it; counts what the tenant has consumed. */
final class Chat {
    /** Tokens in one event, as the configuration states. */
    static final int STRIDE = 7;

    /** Tokens in and out that were delivered: the prompt counts once for each answer that has begun. */
    final AtomicLong consumed = new AtomicLong();
    final Map<Integer, Integer> statuses = new ConcurrentSkipListMap<>();
    private final Run run;
    private final AtomicInteger ids = new AtomicInteger();
    private final ExecutorService clients = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    Chat(Run run) {
        this.run = run;
    }

    /** Writes as many output tokens as the request allows, or the number at the end of the path. */
    static void work(Worker worker, Http.Request request, Socket socket) throws Exception {
        int limit = Integer.parseInt(request.headers().get("token-usage").split(",")[1]);
        String last = request.path().substring(request.path().lastIndexOf('/') + 1);
        int tokens = last.equals("all") ? limit : Math.min(limit, Integer.parseInt(last));
        begin(socket, request.id());
        for (int written = 0; written < tokens; written += STRIDE) {
            event(socket, written / STRIDE, Math.min(STRIDE, tokens - written));
            Thread.sleep(2);
        }
        end(socket);
    }

    static void begin(Socket socket, String id) throws IOException {
        socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: s-" + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
        socket.getOutputStream().flush();
    }

    static void event(Socket socket, int number, int tokens) throws IOException {
        String text = "id: " + number + "\ndata: " + tokens + "\n\n";
        socket.getOutputStream().write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
        socket.getOutputStream().flush();
    }

    static void end(Socket socket) throws IOException {
        socket.getOutputStream().write("0\r\n\r\n".getBytes());
        socket.getOutputStream().flush();
    }

    /** Sends a request of [prompt] tokens and at most [output] more to a router; [last] says how many it gets. */
    void send(Router router, int prompt, int output, String last) {
        int number = ids.incrementAndGet();
        String id = "a" + number;
        clients.submit(() -> {
            Http.Response answer = router.call("POST", "/chat/" + last, id, 8_000, "Model: m\r\nToken-Usage: " + prompt + ","
                + output + "\r\nPrompt-Prefix: aa:100,b" + number + ":" + (prompt - 100) + "\r\n", new byte[] {'x'});
            long out = answer.text().lines().filter(line -> line.startsWith("data: "))
                .mapToLong(line -> Long.parseLong(line.substring("data: ".length()))).sum();
            if (out > 0) consumed.addAndGet(prompt + out);
            statuses.merge(answer.status(), 1, Integer::sum);
            run.record(id + " at " + router.name + " (" + prompt + "," + output + ") -> " + answer.status() + ", "
                + out + " tokens out");
        });
    }
}
