import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two machines and six model workers. One part of a prompt crashes each worker that begins to write an answer on it:
 * with trouble, its first event has left by then. Sound requests with the other parts come all the while.
 */
final class CrashAfterEvent {
    private static final int STABLE_WINDOW_MILLISECONDS = 3_000;
    private static final int DEADLY_REQUESTS = 24;

    private CrashAfterEvent() {}

    public static void main(String[] arguments) {
        Run.main(arguments[0], run -> {
            run.store.put("keyed.op", "config", Run.plan(1, 100_000_000));
            List<Long> crashes = Collections.synchronizedList(new ArrayList<>());
            Worker.Script script = (worker, request, socket) -> {
                if (!request.headers().getOrDefault("prompt-prefix", "").contains("dead")) {
                    Chat.work(worker, request, socket);
                    return;
                }
                crashes.add(run.milliseconds());
                if (run.isTrouble) {
                    Chat.begin(socket, request.id());
                    Chat.event(socket, 0, 1);
                    Thread.sleep(5);
                }
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
                        "Model: m\r\nToken-Usage: 400,200\r\nPrompt-Prefix: aa:100,c" + number + ":300\r\n",
                        new byte[] {'x'});
                    if (answer.status() == 200 && answer.isComplete()) served.incrementAndGet();
                }), 500, 60, TimeUnit.MILLISECONDS);
            }
            Thread.sleep(2_500);
            for (int i = 0; i < DEADLY_REQUESTS; i++) {
                Router router = run.routers.get(i % 2);
                String id = "d" + i;
                clients.submit(() -> {
                    Http.Response answer = router.call("POST", "/chat/70", id, 8_000, "Model: m\r\nToken-Usage: 400,200\r\n"
                        + "Prompt-Prefix: aa:100,dead:100," + id + ":200\r\n", new byte[] {'x'});
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
