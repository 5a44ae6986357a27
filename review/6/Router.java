import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** One process of the project, started with the command of deploy/system.toml on a loopback address of its own. */
final class Router implements AutoCloseable {
    private static final Random RANDOM = new Random();
    final String name;
    final String host;
    private final Path folder;
    private final int front;
    private final int readiness;
    private Process process;
    private int starts;

    Router(Store store, Path folder, String name) throws IOException {
        this.name = name;
        this.folder = folder;
        host = freeHost();
        front = freePort();
        readiness = freePort();
        int internal = freePort();
        Files.writeString(folder.resolve(name + ".conf"), String.join("\n",
            "node_name=" + name, "role=router", "machine_class=front", "serves=front", "ip=" + host, "zone=a",
            "region=r", "zones.a=r", "listen.front=" + host + ":" + front, "listen.readiness=" + host + ":" + readiness,
            "internal_ports=" + internal + "," + internal, "bootstrap=false", "in_tolerance=false",
            "limits.cpu_share=0.75", "limits.cores=1", "limits.memory_mb=280", "limits.max_fds=4100",
            "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
            "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8",
            "bounds.config_apply_ms=2000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10",
            "bounds.budget_extra=58", "bounds.expose_share=0.1", "bounds.expose_slack=50", "bounds.rollback_ms=5000",
            "bounds.settle_ms=1500", "platform.address=" + store.address(), "platform.form=log", "platform.parts=12",
            "platform.append_ms=2.0", "platform.keep_s=300", "platform.ttl_min_ms=1000", ""));
        start();
    }

    void start() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow()
            .replaceAll("^run = \"", "").replaceAll("\"$", "");
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(new File(folder.toFile(), name + "-" + ++starts + ".log"));
        String path = System.getenv("PATH");
        builder.environment().clear();
        builder.environment().put("PATH", path);
        builder.environment().put("HEATHERWIND_NODE_FILE", folder.resolve(name + ".conf").toString());
        process = builder.start();
    }

    void awaitReady() throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        while (System.nanoTime() < until) {
            if (!process.isAlive()) throw new IOException(name + " has ended: " + log());
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(host, readiness), 1_000);
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n".getBytes());
                if (Http.response(socket.getInputStream()).status() == 200) return;
            } catch (IOException notYet) {
                // It starts.
            }
            Thread.sleep(50);
        }
        throw new IOException(name + " is not ready: " + log());
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(host, front), 1_000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Sends a request on a new connection and reads the answer. */
    Http.Response call(String method, String path, String id, int deadline, String extra, byte[] body) {
        try (Socket socket = connect()) {
            socket.setSoTimeout(deadline + 1_000);
            socket.getOutputStream().write(head(method, path, id, deadline, extra, body.length));
            socket.getOutputStream().write(body);
            return Http.response(socket.getInputStream());
        } catch (IOException failure) {
            return Http.NONE;
        }
    }

    static byte[] head(String method, String path, String id, int deadline, String extra, int length) {
        return (method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + deadline
            + "\r\nAuthorization: Bearer key-1\r\n" + extra + (length > 0 ? "Content-Length: " + length + "\r\n" : "")
            + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    void terminate() {
        process.destroy();
    }

    boolean awaitEnd(int seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    String log() throws IOException {
        return Files.readString(folder.resolve(name + "-" + starts + ".log"));
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException ignored) {
            Thread.currentThread().interrupt();
        }
    }

    static String freeHost() {
        while (true) {
            String host = "127." + (1 + RANDOM.nextInt(249)) + "." + (1 + RANDOM.nextInt(249)) + ".1";
            try (ServerSocket ignored = new ServerSocket(9_464, 1, InetAddress.getByName(host))) {
                return host;
            } catch (IOException taken) {
                // Another one.
            }
        }
    }

    private int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }
}
