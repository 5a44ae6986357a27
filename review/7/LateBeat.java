import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Two machines and three workers that write their entries every 1.2 s. One worker's write gets no answer and is done 6 s
 * later; meanwhile the store is stable again and the worker has reported that it is draining.
 */
final class LateBeat {
    private static final int HEARTBEAT_MILLISECONDS = 1_200;
    private static final int DRAIN_MILLISECONDS = 2_000;
    private static final int STABLE_WINDOW_MILLISECONDS = 3_000;
    private static final int LATE_MILLISECONDS = 6_000;

    /** The worker exits this long after the store has accepted its report. */
    private static final int EXIT_MILLISECONDS = 3_400;

    private LateBeat() {}

    public static void main(String[] arguments) {
        Run.main(arguments[0], run -> {
            run.store.put("keyed.op", "config", Run.plan(1, 1_000_000));
            AtomicLong drainingAt = new AtomicLong(Long.MAX_VALUE);
            AtomicInteger late = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            AtomicInteger failed = new AtomicInteger();
            Worker.Script script = (worker, request, socket) -> {
                long after = run.milliseconds() - drainingAt.get();
                if (worker.id.equals("l-0") && after > 0) {
                    run.record(request.id() + " reaches l-0, " + after + " ms after the store accepted that it drains");
                    if (after > DRAIN_MILLISECONDS) late.incrementAndGet();
                }
                Thread.sleep(120);
                Worker.answer(socket, request.id(), "done");
            };
            for (int i = 0; i < 3; i++) run.worker("l-" + i, "ledger", script);
            Worker leaving = run.workers.get(0);
            run.startRouters(2);
            AtomicInteger ids = new AtomicInteger();
            ScheduledExecutorService clients = Executors.newScheduledThreadPool(32);
            for (Router router : run.routers) {
                clients.scheduleAtFixedRate(() -> clients.submit(() -> {
                    String id = "o" + ids.incrementAndGet();
                    Http.Response answer = router.call("POST", "/order/x", id, 1_500, "", new byte[] {'x'});
                    if (answer.status() == 200) {
                        served.incrementAndGet();
                    } else {
                        failed.incrementAndGet();
                        run.record(id + " at " + router.name + " -> " + answer.status());
                    }
                }), 0, 40, TimeUnit.MILLISECONDS);
            }
            for (Worker worker : run.workers.subList(1, 3)) {
                clients.scheduleAtFixedRate(() -> worker.register("ready"), 500, HEARTBEAT_MILLISECONDS,
                    TimeUnit.MILLISECONDS);
            }
            for (int i = 0; i < 3; i++) {
                Thread.sleep(HEARTBEAT_MILLISECONDS);
                leaving.register("ready");
            }

            // The next write gets no answer. The store's answers are lost for 100 ms, and not after that.
            Thread.sleep(HEARTBEAT_MILLISECONDS);
            String lost = leaving.entry("ready");
            run.record("the write of l-0 gets no answer: " + lost);
            long disruptedUntil = run.milliseconds() + 100;
            clients.schedule(() -> {
                if (!run.isTrouble) return;
                run.record("it is done now: " + lost);
                run.store.put("keyed.servers", leaving.id, lost);
            }, LATE_MILLISECONDS, TimeUnit.MILLISECONDS);
            for (int i = 0; i < 2; i++) {
                Thread.sleep(HEARTBEAT_MILLISECONDS);
                leaving.register("ready");
            }
            Thread.sleep(Math.max(0, disruptedUntil + STABLE_WINDOW_MILLISECONDS + 100 - run.milliseconds()));
            clients.schedule(() -> {
                run.record("l-0 exits, its entry is removed");
                leaving.crash();
                run.store.put("keyed.servers", leaving.id, "");
            }, EXIT_MILLISECONDS, TimeUnit.MILLISECONDS);
            for (int i = 0; i < 3; i++) {
                leaving.register("draining");
                if (i == 0) drainingAt.set(run.milliseconds());
                run.record("l-0 reports that it is draining");
                Thread.sleep(HEARTBEAT_MILLISECONDS);
            }
            Thread.sleep(3_000);
            run.record("orders sent: " + ids + ", answered 200: " + served + ", not answered 200: " + failed);
            run.end(late.get() > 0, late + " requests reached the worker later than " + DRAIN_MILLISECONDS
                + " ms after the store had accepted that it was draining (allowed: none)");
        });
    }
}
