import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What all scripts share: a store, routers, workers, the record, and the end of all of them. */
final class Run implements AutoCloseable {
    final boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    final List<Router> routers = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    private final Path folder;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();

    Run(String recordFile) throws IOException {
        folder = Files.createTempDirectory("review-2");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        store = new Store("127.0.0.1");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> routers.forEach(Router::close)));
    }

    /** The plan of a small deployment: a resumable stream, one that is not, an unsafe route and a safe one. */
    static String plan(int version, long prepaid) {
        return plan(version, prepaid, 2, 10_000);
    }

    static String plan(int version, long prepaid, int attempts, int timeout) {
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"chat\",\"host\":\"h.example\",\"path_prefix\":\"/chat/\",\"kind\":\"stream\",\"timeout_ms\":"
            + timeout + ",\"target_latency_ms\":300,\"priority\":0,\"service\":\"pool\",\"max_attempts\":" + attempts
            + ",\"public\":false,\"session_affinity\":true,\"stream_resume\":true,\"gap_aim_ms\":300},"
            + "{\"name\":\"review\",\"host\":\"h.example\",\"path_prefix\":\"/review/\",\"kind\":\"stream\","
            + "\"timeout_ms\":" + timeout + ",\"target_latency_ms\":600,\"priority\":1,\"service\":\"pool\","
            + "\"max_attempts\":1,\"public\":false,\"session_affinity\":true,\"stream_resume\":false,\"gap_aim_ms\":300},"
            + "{\"name\":\"order\",\"host\":\"h.example\",\"path_prefix\":\"/order/\",\"kind\":\"unsafe\","
            + "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"ledger\",\"max_attempts\":1,"
            + "\"public\":false},"
            + "{\"name\":\"lookup\",\"host\":\"h.example\",\"path_prefix\":\"/lookup/\",\"kind\":\"safe\","
            + "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"ledger\",\"max_attempts\":2,"
            + "\"public\":false}],"
            + "\"services\":[{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\","
            + "\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":589482,\"stride\":7}},"
            + "{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\","
            + "\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"studio\",\"api_keys\":[\"key-1\"],\"priority\":1,\"prepaid\":" + prepaid + "}]}";
    }

    void startRouters(int count) throws Exception {
        for (int i = 0; i < count; i++) routers.add(new Router(store, folder, "front-a-" + (i + 1)));
        for (Router router : routers) router.awaitReady();
    }

    Worker worker(String id, String service, Worker.Script script) throws IOException {
        Worker worker = new Worker(store, "127.0.0.1", id, service, script);
        workers.add(worker);
        return worker;
    }

    long milliseconds() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void record(String line) {
        record.printf("%7d ms  %s%n", milliseconds(), line);
    }

    Path folder() {
        return folder;
    }

    /** Ends with the exit status of a script: 1 where the rule was broken, 0 where it held. */
    void end(boolean isBroken, String verdict) {
        record((isBroken ? "BROKEN: " : "held: ") + verdict);
        System.out.println((isBroken ? "BROKEN: " : "held: ") + verdict);
        close();
        Runtime.getRuntime().halt(isBroken ? 1 : 0);
    }

    /** Runs a script; what it cannot do ends it with 2. */
    static void main(String recordFile, Body body) {
        Run run = null;
        try {
            run = new Run(recordFile);
            body.run(run);
        } catch (Throwable failure) {
            failure.printStackTrace();
        }
        if (run != null) run.close();
        Runtime.getRuntime().halt(2);
    }

    interface Body {
        void run(Run run) throws Exception;
    }

    @Override
    public void close() {
        routers.forEach(Router::close);
        if (System.getenv("KEEP_LOGS") != null) return;
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.deleteIfExists(file);
            Files.deleteIfExists(folder);
        } catch (IOException ignored) {
            // A file of a temporary folder stays.
        }
    }
}
