import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two machines and six model workers. One part of a prompt crashes each worker before it writes an answer on it: with
 * trouble, 70 others stand before it in the prompt. Sound requests with these parts come all the while.
 */
final class CrashLatePart {
    private static final int STABLE_WINDOW_MILLISECONDS = 3_000;
    private static final int SHARED_PARTS = 70;
    private static final int DEADLY_REQUESTS = 24;

    private CrashLatePart() {}

    public static void main(String[] arguments) {
        Run.main(arguments[0], run -> {
            run.store.put("keyed.op", "config", Run.plan(1, 100_000_000));
            StringBuilder parts = new StringBuilder();
            for (int i = 0; i < (run.isTrouble ? SHARED_PARTS : 1); i++) parts.append("a").append(i).append(":10,");
            List<Long> crashes = Collections.synchronizedList(new ArrayList<>());
            Worker.Script script = (worker, request, socket) -> {
                if (!request.headers().getOrDefault("prompt-prefix", "").contains("dead")) {
                    Chat.work(worker, request, socket);
                    return;
                }
                crashes.add(run.milliseconds());
                run.record(request.id() + " reaches " + worker.id + ", which crashes");
                worker.crash();
                worker.restartAfter(2_500);
            };
            for (int i = 0; i < 6; i++) run.worker("p-" + i, "pool", script);
            run.startRouters(2);
            ScheduledExecutorService clients = Executors.newScheduledThreadPool(48);
            AtomicInteger sound = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            for (Router router : run.routers) {
                clients.scheduleAtFixedRate(() -> clients.submit(() -> {
                    int number = sound.incrementAndGet();
                    Http.Response answer = router.call("POST", "/chat/70", "s" + number, 8_000,
                        "Model: m\r\nToken-Usage: 1010,200\r\nPrompt-Prefix: " + parts + "c" + number + ":300\r\n",
                        new byte[] {'x'});
                    if (answer.status() == 200 && answer.isComplete()) served.incrementAndGet();
                }), 500, 60, TimeUnit.MILLISECONDS);
            }
            Thread.sleep(2_500);
            for (int i = 0; i < DEADLY_REQUESTS; i++) {
                Router router = run.routers.get(i % 2);
                String id = "d" + i;
                clients.submit(() -> {
                    Http.Response answer = router.call("POST", "/chat/70", id, 8_000, "Model: m\r\nToken-Usage: 1010,200\r\n"
                        + "Prompt-Prefix: " + parts + "dead:100," + id + ":200\r\n", new byte[] {'x'});
                    run.record(id + " at " + router.name + " -> " + answer.status());
                });
                Thread.sleep(1_500);
            }
            run.record("sound requests: " + sound + ", served whole: " + served);
            List<Long> times = List.copyOf(crashes);
            long late = times.size() < 5 ? 0
                : times.stream().filter(time -> time > times.get(4) + STABLE_WINDOW_MILLISECONDS).count();
            run.end(late > 3, late + " requests with the part reached workers later than " + STABLE_WINDOW_MILLISECONDS
                + " ms after the fifth of " + times.size() + " crashes (allowed: 3)");
        });
    }
}
