import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;

/** A sound store of the platform, as PROTOCOL.md describes it: keyed topics, conditional appends, fenced producers. */
final class StoreStandIn implements AutoCloseable {
    private record Entry(String key, byte[] value) {}

    private record Answer(int status, byte[] body) {}

    private static final class Producer {
        long epoch = -1;
        long sequence;
        final Map<Long, Answer> answers = new HashMap<>();
    }

    private static final class Partition {
        final List<Entry> records = new ArrayList<>();
        final Map<String, Producer> producers = new HashMap<>();
    }

    private final Map<String, Partition> partitions = new HashMap<>();
    private final HttpServer server;

    /** How many milliseconds the next answer is late. */
    volatile LongSupplier lateness = () -> 0;

    StoreStandIn(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/log-append", this::append);
        server.createContext("/log-read", this::read);
        server.createContext("/log-newest", this::newest);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Writes a record as the operator and the workers do. An empty value drops the key. */
    synchronized void put(String topic, String key, String value) {
        partition(topic, "0").records.add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private Partition partition(String topic, String part) {
        return partitions.computeIfAbsent(topic + "/" + part, name -> new Partition());
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> fields = new HashMap<>();
        for (String field : exchange.getRequestURI().getQuery().split("&")) {
            int split = field.indexOf('=');
            fields.put(field.substring(0, split), field.substring(split + 1));
        }
        return fields;
    }

    private void send(HttpExchange exchange, Answer answer) throws IOException {
        long delay = lateness.getAsLong();
        if (delay > 0) {
            try {
                Thread.sleep(delay);
            } catch (InterruptedException stopped) {
                return;
            }
        }
        exchange.sendResponseHeaders(answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
        exchange.getResponseBody().write(answer.body());
        exchange.close();
    }

    private static Answer json(int status, String text) {
        return new Answer(status, text.getBytes(StandardCharsets.UTF_8));
    }

    private void append(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Answer answer;
        synchronized (this) {
            answer = append(query(exchange), body);
            notifyAll();
        }
        send(exchange, answer);
    }

    private Answer append(Map<String, String> query, byte[] body) {
        Partition partition = partition(query.get("topic"), query.get("part"));
        int end = partition.records.size();
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
            return json(412, "{\"end_offset\":" + end + "}");
        }
        Producer producer = null;
        if (query.containsKey("producer")) {
            producer = partition.producers.computeIfAbsent(query.get("producer"), name -> new Producer());
            long epoch = Long.parseLong(query.get("epoch"));
            long sequence = Long.parseLong(query.get("sequence"));
            if (epoch < producer.epoch) return json(409, "{\"reason\":\"fenced\"}");
            if (epoch == producer.epoch) {
                Answer first = producer.answers.get(sequence);
                if (first != null && sequence > producer.sequence - 5) return first;
                if (sequence != producer.sequence + 1) {
                    return json(409, "{\"reason\":\"seq\",\"sequence\":" + (producer.sequence + 1) + "}");
                }
            } else {
                producer.answers.clear();
            }
            producer.epoch = epoch;
            producer.sequence = sequence;
        }
        ByteBuffer records = ByteBuffer.wrap(body);
        while (records.hasRemaining()) {
            byte[] record = new byte[records.getInt()];
            records.get(record);
            int keyLength = record[0] & 0xff;
            String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
            byte[] value = new byte[record.length - 1 - keyLength];
            System.arraycopy(record, 1 + keyLength, value, 0, value.length);
            partition.records.add(new Entry(key, value));
        }
        Answer answer = json(200, "{\"offset\":" + end + ",\"end_offset\":" + partition.records.size() + "}");
        if (producer != null) producer.answers.put(producer.sequence, answer);
        return answer;
    }

    private void read(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        Map<String, String> query = query(exchange);
        int from = Integer.parseInt(query.get("from"));
        long limit = 1024L * Integer.parseInt(query.getOrDefault("max_kb", "1024"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000L;
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        long end;
        synchronized (this) {
            Partition partition = partition(query.get("topic"), query.get("part"));
            while (partition.records.size() <= from) {
                long left = (until - System.nanoTime()) / 1_000_000L;
                if (left <= 0) break;
                try {
                    wait(left);
                } catch (InterruptedException stopped) {
                    break;
                }
            }
            end = partition.records.size();
            for (int offset = from; offset < end; offset++) {
                Entry record = partition.records.get(offset);
                byte[] key = record.key().getBytes(StandardCharsets.UTF_8);
                int size = 1 + key.length + record.value().length;
                if (frames.size() > 0 && frames.size() + size + 4 > limit) break;
                frames.writeBytes(ByteBuffer.allocate(4 + size).putInt(size).put((byte) key.length).put(key)
                    .put(record.value()).array());
            }
        }
        byte[] head = ByteBuffer.allocate(16).putLong(end).putLong(0).array();
        byte[] body = new byte[head.length + frames.size()];
        System.arraycopy(head, 0, body, 0, head.length);
        System.arraycopy(frames.toByteArray(), 0, body, head.length, frames.size());
        send(exchange, new Answer(200, body));
    }

    private void newest(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        Map<String, String> query = query(exchange);
        StringBuilder items = new StringBuilder();
        boolean truncated = false;
        int end;
        synchronized (this) {
            Partition partition = partition(query.get("topic"), query.get("part"));
            end = partition.records.size();
            TreeMap<String, Integer> latest = new TreeMap<>();
            for (int offset = 0; offset < end; offset++) {
                Entry record = partition.records.get(offset);
                if (record.value().length == 0) latest.remove(record.key()); else latest.put(record.key(), offset);
            }
            int count = 0;
            for (Map.Entry<String, Integer> item : latest.entrySet()) {
                if (query.containsKey("after") && item.getKey().compareTo(query.get("after")) <= 0) continue;
                if (count++ == 500) {
                    truncated = true;
                    break;
                }
                if (items.length() > 0) items.append(',');
                items.append("{\"key\":\"").append(item.getKey()).append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(partition.records.get(item.getValue()).value()))
                    .append("\",\"offset\":").append(item.getValue()).append('}');
            }
        }
        send(exchange, json(200, "{\"items\":[" + items + "],\"truncated\":" + truncated + ",\"end_offset\":" + end + "}"));
    }
}
