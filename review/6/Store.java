import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A sound stand-in for the platform's store, as PROTOCOL.md describes it: logs, keyed topics, conditions, producers. */
final class Store implements AutoCloseable {
    private static final int PAGE_RECORDS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int LAST_APPENDS = 5;

    private record Entry(byte[] frame, String key, byte[] value) {}

    private static final class Producer {
        long epoch = -1;
        long sequence;
        final LinkedHashMap<Long, byte[]> responses = new LinkedHashMap<>();
    }

    private static final class Part {
        final List<Entry> entries = new ArrayList<>();
        final TreeMap<String, Integer> newest = new TreeMap<>();
        final Map<String, Producer> producers = new HashMap<>();
    }

    private record Answer(int status, byte[] body) {}

    /** Decides the fate of one write. */
    interface Loss {
        /** Returns after how many milliseconds the write is done, without an answer, or -1 if it is answered as usual. */
        int lateAfter(Map<String, String> query, byte[] body);
    }

    private final HttpServer server;
    private final Map<String, Part> parts = new HashMap<>();
    /** Whether no call gets an answer. */
    volatile boolean down;

    private volatile Loss loss = (query, body) -> -1;
    private int writes;
    private int lostWrites;

    Store(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::serve);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    /** Writes a record as the operator and the workers do; an empty value drops the key. */
    synchronized void put(String topic, String key, String value) {
        add(part(topic, "0"), keyed(key, value.getBytes(StandardCharsets.UTF_8)), true);
        notifyAll();
    }

    /** The newest value of a key in any partition of a keyed topic, or null. */
    synchronized String newest(String topic, String key) {
        for (Map.Entry<String, Part> entry : parts.entrySet()) {
            Integer offset = entry.getKey().startsWith(topic + "/") ? entry.getValue().newest.get(key) : null;
            if (offset != null) return new String(entry.getValue().entries.get(offset).value(), StandardCharsets.UTF_8);
        }
        return null;
    }

    /** Loses the answers of the writes that [loss] names; each is done late, if its condition still holds then. */
    void lose(Loss loss) {
        this.loss = loss;
    }

    /** Writes of the system while answers could be lost, and how many of them lost theirs. */
    synchronized String losses() {
        return lostWrites + " of " + writes + " writes";
    }

    private void serve(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (down) return;
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        if (text != null) {
            for (String field : text.split("&")) {
                int at = field.indexOf('=');
                query.put(field.substring(0, at), field.substring(at + 1));
            }
        }
        if (exchange.getRequestURI().getPath().equals("/log-append")) {
            int late = loss.lateAfter(query, body);
            if (late >= -1) count(late >= 0);
            if (late >= 0) {
                Worker.daemon(() -> {
                    Thread.sleep(late);
                    append(query, body);
                });
                return;
            }
        }
        Answer answer = switch (exchange.getRequestURI().getPath()) {
            case "/log-append" -> append(query, body);
            case "/log-read" -> read(query);
            case "/log-newest" -> newest(query);
            default -> new Answer(404, new byte[0]);
        };
        exchange.sendResponseHeaders(answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
        if (answer.body().length > 0) exchange.getResponseBody().write(answer.body());
        exchange.close();
    }

    private synchronized void count(boolean isLost) {
        writes++;
        if (isLost) lostWrites++;
    }

    private synchronized Answer append(Map<String, String> query, byte[] body) {
        Part part = part(query.get("topic"), query.get("part"));
        String at = query.get("at");
        if (at != null && Long.parseLong(at) != part.entries.size()) {
            return json(412, "{\"end_offset\":" + part.entries.size() + "}");
        }
        Producer producer = null;
        long sequence = 0;
        if (query.get("producer") != null) {
            producer = part.producers.computeIfAbsent(query.get("producer"), name -> new Producer());
            long epoch = Long.parseLong(query.get("epoch"));
            sequence = Long.parseLong(query.get("sequence"));
            if (epoch < producer.epoch) return json(409, "{\"reason\":\"fenced\"}");
            if (epoch == producer.epoch) {
                byte[] first = producer.responses.get(sequence);
                if (first != null) return new Answer(200, first);
                if (sequence != producer.sequence + 1) {
                    return json(409, "{\"reason\":\"seq\",\"sequence\":" + (producer.sequence + 1) + "}");
                }
            } else {
                producer.responses.clear();
            }
            producer.epoch = epoch;
            producer.sequence = sequence;
        }
        int offset = part.entries.size();
        boolean isKeyed = query.get("topic").startsWith("keyed.");
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] frame = new byte[buffer.getInt()];
            buffer.get(frame);
            add(part, frame, isKeyed);
        }
        byte[] response = ("{\"offset\":" + offset + ",\"end_offset\":" + part.entries.size() + "}")
            .getBytes(StandardCharsets.UTF_8);
        if (producer != null) {
            producer.responses.put(sequence, response);
            if (producer.responses.size() > LAST_APPENDS) {
                producer.responses.remove(producer.responses.keySet().iterator().next());
            }
        }
        notifyAll();
        return new Answer(200, response);
    }

    private synchronized Answer read(Map<String, String> query) {
        Part part = part(query.get("topic"), query.get("part"));
        int from = Integer.parseInt(query.get("from"));
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (part.entries.size() <= from && System.currentTimeMillis() < until) {
            try {
                wait(Math.max(1, until - System.currentTimeMillis()));
            } catch (InterruptedException end) {
                break;
            }
        }
        int limit = Integer.parseInt(query.getOrDefault("max_kb", "1024")) * 1024;
        int to = from;
        int size = 0;
        while (to < part.entries.size() && (to == from || size + 4 + part.entries.get(to).frame().length <= limit)) {
            size += 4 + part.entries.get(to).frame().length;
            to++;
        }
        ByteBuffer buffer = ByteBuffer.allocate(16 + size).putLong(part.entries.size()).putLong(0);
        for (Entry entry : part.entries.subList(Math.min(from, to), to)) {
            buffer.putInt(entry.frame().length).put(entry.frame());
        }
        return new Answer(200, buffer.array());
    }

    private synchronized Answer newest(Map<String, String> query) {
        Part part = part(query.get("topic"), query.get("part"));
        String after = query.get("after");
        StringBuilder items = new StringBuilder();
        int records = 0;
        boolean isTruncated = false;
        for (Map.Entry<String, Integer> entry
            : (after == null ? part.newest : part.newest.tailMap(after, false)).entrySet()) {
            if (records == PAGE_RECORDS || items.length() > PAGE_BYTES) {
                isTruncated = true;
                break;
            }
            byte[] value = part.entries.get(entry.getValue()).value();
            items.append(records++ == 0 ? "" : ",").append("{\"key\":\"").append(entry.getKey())
                .append("\",\"value\":\"").append(Base64.getEncoder().encodeToString(value))
                .append("\",\"offset\":").append(entry.getValue()).append('}');
        }
        return json(200, "{\"items\":[" + items + "],\"truncated\":" + isTruncated + ",\"end_offset\":"
            + part.entries.size() + "}");
    }

    private void add(Part part, byte[] frame, boolean isKeyed) {
        String key = "";
        byte[] value = new byte[0];
        if (isKeyed) {
            int length = frame[0] & 0xff;
            key = new String(frame, 1, length, StandardCharsets.UTF_8);
            value = java.util.Arrays.copyOfRange(frame, 1 + length, frame.length);
            if (value.length == 0) part.newest.remove(key); else part.newest.put(key, part.entries.size());
        }
        part.entries.add(new Entry(frame, key, value));
    }

    private static byte[] keyed(String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + name.length + value.length).put((byte) name.length).put(name).put(value).array();
    }

    private Part part(String topic, String part) {
        return parts.computeIfAbsent(topic + "/" + part, name -> new Part());
    }

    private static Answer json(int status, String text) {
        return new Answer(status, text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
