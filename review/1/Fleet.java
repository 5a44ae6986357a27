import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Router processes, started with the command of deploy/system.toml, and the stand-ins around them, on loopback. */
final class Fleet implements AutoCloseable {
    static final String KEY = "key0123456789";

    final Record record;
    final StoreStandIn store;
    final List<WorkerStandIn> workers = new ArrayList<>();
    final List<InetSocketAddress> routers = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final Path folder;
    private final String storeHost = "127.0.0.1";

    /** A part of the loopback network that no other run uses at the time. */
    private final String network;

    /** The routes, limits and services are like those of the small sites; times in milliseconds. */
    static String plan(int version, String tenants) {
        return "{\"version\":" + version + ",\"routes\":["
            + route("chat", "/chat/", "stream", 10_000, 300, "pool", 2, ",\"stream_resume\":true,\"gap_aim_ms\":300")
            + "," + route("review", "/review/", "stream", 12_000, 600, "pool", 1, ",\"stream_resume\":false,\"gap_aim_ms\":300")
            + "," + route("order", "/order/", "unsafe", 800, 300, "desk", 1, "")
            + "," + route("lookup", "/lookup/", "safe", 800, 300, "desk", 2, "")
            + "],\"services\":[{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_connections\":370,"
            + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":589482,\"stride\":7}},"
            + "{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":110}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},"
            + "\"tenants\":[" + tenants + "]}";
    }

    static String tenant(String name, String key, long prepaid) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key + "\"],\"priority\":1,\"prepaid\":" + prepaid + "}";
    }

    private static String route(
        String name, String prefix, String kind, int timeout, int aim, String service, int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":" + aim + ",\"priority\":1,\"service\":\"" + service
            + "\",\"max_attempts\":" + attempts + ",\"public\":false,\"session_affinity\":true" + more + "}";
    }

    Fleet(Record record, String plan, int routerCount, int poolWorkers, int deskWorkers) throws Exception {
        this.record = record;
        folder = Files.createTempDirectory("heatherwind-review");
        store = new StoreStandIn(storeHost);
        network = freeNetwork();
        store.put("keyed.op", "config", plan);
        for (int i = 1; i <= poolWorkers; i++) add(new WorkerStandIn("127.0.0.1", "pool-" + i, "pool", 64, 20, record));
        for (int i = 1; i <= deskWorkers; i++) add(new WorkerStandIn("127.0.0.1", "desk-" + i, "desk", 6, 0, record));
        // Nothing that was started outlives this process, however it ends.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        List<Integer> readiness = new ArrayList<>();
        for (int i = 1; i <= routerCount; i++) startRouter(i, readiness);
        for (int i = 0; i < routerCount; i++) awaitReady(routers.get(i).getHostString(), readiness.get(i));
    }

    private void add(WorkerStandIn worker) {
        workers.add(worker);
        store.put("keyed.servers", worker.id, worker.entry());
    }

    private void startRouter(int number, List<Integer> readiness) throws Exception {
        String host = network + (10 + number);
        int front = freePort(host);
        int ready = freePort(host);
        int internal = freePort(host);
        Path settings = folder.resolve("router-" + number + ".conf");
        Files.writeString(settings, String.join("\n",
            "node_name=front-a-" + number, "role=router", "machine_class=front", "serves=front", "ip=" + host, "zone=a",
            "region=r", "listen.front=" + host + ":" + front, "listen.readiness=" + host + ":" + ready,
            "internal_ports=" + internal + "," + internal, "bootstrap=true", "limits.memory_mb=280", "limits.max_fds=4100",
            "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10",
            "bounds.budget_extra=58", "bounds.expose_share=0.1", "platform.address=" + storeHost + ":" + store.port(),
            "platform.parts=12", ""));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("HEATHERWIND_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(new File(folder.toFile(), "router-" + number + ".log"));
        processes.add(builder.start());
        routers.add(new InetSocketAddress(host, front));
        readiness.add(ready);
    }

    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("no run command in deploy/system.toml");
        return List.of(run.group(1).split(" "));
    }

    /** The routers' metrics port is fixed by the deploy file, so each run takes other addresses. */
    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int tries = 0; tries < 100; tries++) {
            String found = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
            try (ServerSocket socket = new ServerSocket(9464, 1, InetAddress.getByName(found + "11"))) {
                return found;
            } catch (IOException used) {
                // Another run has this one.
            }
        }
        throw new IOException("no free part of the loopback network");
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    private static void awaitReady(String host, int port) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < until) {
            try {
                HttpURLConnection call = (HttpURLConnection) new URL("http", host, port, "/readyz").openConnection();
                call.setConnectTimeout(1000);
                call.setReadTimeout(1000);
                if (call.getResponseCode() == 200) return;
            } catch (IOException notYet) {
                // The process is still starting.
            }
            Thread.sleep(100);
        }
        throw new IOException("a router is not ready after 30 s");
    }

    /** The numbers of the router processes that have ended. */
    List<Integer> ended() {
        List<Integer> ended = new ArrayList<>();
        for (int i = 0; i < processes.size(); i++) if (!processes.get(i).isAlive()) ended.add(i + 1);
        return ended;
    }

    /** The lines of all routers' logs that contain [text]. */
    List<String> logged(String text) throws IOException {
        List<String> found = new ArrayList<>();
        for (int i = 1; i <= processes.size(); i++) {
            for (String line : Files.readAllLines(folder.resolve("router-" + i + ".log"))) {
                if (line.contains(text)) found.add("router-" + i + " " + line);
            }
        }
        return found;
    }

    @Override
    public void close() throws Exception {
        for (Process process : processes) process.destroyForcibly();
        for (Process process : processes) process.waitFor();
        for (WorkerStandIn worker : workers) worker.close();
        store.close();
        if (System.getenv("KEEP_LOGS") != null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
        }
    }
}
