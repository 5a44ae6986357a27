import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * Ten tenants use up what they have prepaid, and each of them tops up several times. Meanwhile the store is slow for
 * some seconds, again and again: each of its answers takes up to 240 ms.
 */
final class LedgerRace {
    private static final int ROUTERS = 4;
    private static final int CYCLE_MS = 8_000;
    private static final int SLOW_MS = 4_500;
    private static final int SECONDS = 88;
    private static final int PROMPT = 2_860;
    private static final int OUTPUT = 140;
    private static final long FIRST = 300_000;
    private static final long TOP_UP = 60_000;

    /** Names of tenants whose budgets lie in two of the twelve partitions of the ledger. */
    private static final List<String> NAMES = List.of("tenant-10", "tenant-12", "tenant-27", "tenant-33", "tenant-40",
        "tenant-5", "tenant-11", "tenant-17", "tenant-21", "tenant-39");

    public static void main(String[] arguments) {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        Record record = new Record();
        try (Fleet fleet = new Fleet(record, plan(0), ROUTERS, 3, 1)) {
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

    private static long prepaid(int topUps) {
        return FIRST + topUps * TOP_UP;
    }

    private static String plan(int topUps) {
        return Fleet.plan(7 + topUps, NAMES.stream().map(name -> Fleet.tenant(name, "key-" + name, prepaid(topUps)))
            .collect(Collectors.joining(",")));
    }

    private static boolean play(Fleet fleet, Record record, boolean isTrouble) throws Exception {
        Random random = new Random(1);
        long start = System.nanoTime();
        if (isTrouble) {
            fleet.store.lateness = () -> {
                boolean isSlow = (System.nanoTime() - start) / 1_000_000L % CYCLE_MS < SLOW_MS;
                synchronized (random) {
                    return isSlow ? random.nextInt(240) : 0;
                }
            };
        }
        List<Caller> callers = new ArrayList<>();
        for (String name : NAMES) callers.add(new Caller(record));
        List<Thread> threads = new ArrayList<>();
        boolean isBroken = false;
        int topUps = 0;
        long ticks = 0;
        while (true) {
            long elapsed = (System.nanoTime() - start) / 1_000_000L;
            if (elapsed >= SECONDS * 1_000L) break;
            if (elapsed >= 2 * CYCLE_MS + topUps * (long) CYCLE_MS + 1_000) {
                isBroken |= isOver(callers, record, topUps);
                topUps++;
                fleet.store.put("keyed.op", "config", plan(topUps));
                record.add("topped up to " + prepaid(topUps));
            }
            for (int i = 0; i < NAMES.size(); i++) {
                threads.add(callers.get(i).send(fleet.routers.get(random.nextInt(ROUTERS)), "chat", 10_000, 10_000,
                    "key-" + NAMES.get(i), PROMPT, OUTPUT));
            }
            long left = (start - System.nanoTime()) / 1_000_000L + ++ticks * 125;
            if (left > 0) Thread.sleep(left);
        }
        for (Thread thread : threads) thread.join(12_000);
        return isBroken | isOver(callers, record, topUps);
    }

    /** Whether a tenant has got more than it has prepaid by now. Counted are requests that have ended. */
    private static boolean isOver(List<Caller> callers, Record record, int topUps) {
        boolean isOver = false;
        for (int i = 0; i < NAMES.size(); i++) {
            long tokens = 0;
            long served = 0;
            for (Caller.Request request : callers.get(i).requests) {
                if (request.events == 0) continue;
                served++;
                tokens += PROMPT + (long) OUTPUT / 20 * request.events;
            }
            String line = NAMES.get(i) + ": prepaid " + prepaid(topUps) + " tokens, got " + tokens + " with " + served
                + " requests";
            if (tokens > prepaid(topUps)) record.say(line + ", OVER"); else record.add(line);
            isOver |= tokens > prepaid(topUps);
        }
        return isOver;
    }
}
