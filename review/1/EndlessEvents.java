import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One of four model workers answers with a body of a stream that has no end and consists of line feeds, until the
 * caller closes. Meanwhile clients send orders and lookups, whose workers are sound.
 */
final class EndlessEvents {
    private static final int SECONDS = 25;

    public static void main(String[] arguments) {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        Record record = new Record();
        try (Fleet fleet = new Fleet(record, Fleet.plan(7, Fleet.tenant("studio", Fleet.KEY, 100_000_000)), 3, 4, 3)) {
            exit = play(fleet, record, isTrouble) ? 1 : 0;
        } catch (Exception failure) {
            record.say("could not run: " + failure);
        }
        try {
            record.write(Path.of(arguments[0]));
        } catch (Exception failure) {
            exit = 2;
        }
        System.exit(exit);
    }

    private static boolean play(Fleet fleet, Record record, boolean isTrouble) throws Exception {
        if (isTrouble) fleet.workers.get(0).trouble = EndlessEvents::answer;
        Caller caller = new Caller(record);
        List<Thread> threads = new ArrayList<>();
        for (int tick = 0; tick < SECONDS * 20; tick++) {
            var router = fleet.routers.get(tick % 3);
            threads.add(caller.send(router, tick % 2 == 0 ? "order" : "lookup", 800, 1500));
            if (tick % 4 == 0) threads.add(caller.send(router, "chat", 10_000, 10_000));
            Thread.sleep(50);
        }
        for (Thread thread : threads) thread.join(12_000);
        int unanswered = 0;
        int late = 0;
        int complete = 0;
        for (Caller.Request request : caller.requests) {
            if (request.end.equals("200 whole")) complete++;
            if (request.timeout != 800 || request.endedAfter <= request.timeout) continue;
            unanswered++;
            if (request.endedAfter > request.timeout + 500) late++;
        }
        record.say(caller.requests.size() + " requests, " + complete + " answered whole with 200; of the orders and lookups "
            + unanswered + " unanswered at timeout_ms, " + late + " of these without an answer 0.5 s later; routers ended: "
            + fleet.ended());
        return unanswered >= 8 && late > unanswered / 2.0 || !fleet.ended().isEmpty();
    }

    /** Answers streams with bytes without end, at most 2 MB a second. */
    private static boolean answer(Http.Head request, java.io.OutputStream output)
        throws java.io.IOException, InterruptedException {
        if (!request.line().contains("/chat/")) return false;
        WorkerStandIn.write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id")
            + "\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        String text = "\n".repeat(20_000);
        byte[] chunk = (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII);
        while (true) {
            output.write(chunk);
            Thread.sleep(10);
        }
    }
}
