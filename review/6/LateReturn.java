import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Two machines, one tenant, little left of its budget. The first machine gives back what it doesn't need, in a write
 * whose answer is lost and that is done 1.4 s later. Meanwhile it asks for a part of that again, and that answer is
 * lost too. It must not spend that part before the store has confirmed it.
 */
final class LateReturn {
    private static final int PROMPT = 11_650;
    private static final int OUTPUT = 350;
    private static final int LATE_MILLISECONDS = 1_400;

    /** How long answers are lost; the longest on the site is 4.9 s. */
    private static final int LOSS_MILLISECONDS = 1_200;

    private LateReturn() {}

    public static void main(String[] arguments) {
        Run.main(arguments[0], run -> {
            run.store.put("keyed.op", "config", Run.plan(1, 15_500));
            for (int i = 0; i < 4; i++) run.worker("p-" + i, "pool", Chat::work);
            run.startRouters(2);
            Router first = run.routers.get(0);
            Router second = run.routers.get(1);
            Chat chat = new Chat(run);
            AtomicLong armedAt = new AtomicLong(Long.MAX_VALUE);
            AtomicLong returnedAt = new AtomicLong();
            AtomicLong retakenAt = new AtomicLong();
            run.store.lose((query, body) -> {
                if (!query.get("topic").equals("keyed.budgets")) return -1;
                long was = grantOf(newest(run), first.name);
                long is = grantOf(new String(body), first.name);
                run.record("write to the ledger: " + first.name + " " + was + " -> " + is + ", " + second.name + " -> "
                    + grantOf(new String(body), second.name));
                long now = run.milliseconds();
                boolean isReturn = now >= armedAt.get() && returnedAt.get() == 0 && was - is > 20_000;
                if (isReturn) returnedAt.set(now);
                boolean isLost = returnedAt.get() != 0 && now < returnedAt.get() + LOSS_MILLISECONDS && is != was;
                if (!isLost) return -1;
                if (!isReturn) retakenAt.set(now);
                run.record("its answer is lost, it is done " + LATE_MILLISECONDS + " ms later if its condition holds");
                return LATE_MILLISECONDS;
            });

            // Requests with high limits and short answers: the second machine gives its tokens back.
            long until = run.milliseconds() + 12_000;
            while (grantOf(newest(run), second.name) != 0 || grantOf(newest(run), first.name) == 0) {
                if (run.milliseconds() > until) throw new IllegalStateException("the second machine holds tokens");
                chat.send(first, 400, 9_600, "70");
                Thread.sleep(400);
            }
            Thread.sleep(500);
            long prepaid = chat.consumed.get() + 26_000;
            run.store.put("keyed.op", "config", Run.plan(2, prepaid));
            run.record("the prepaid tokens are raised to " + prepaid);
            Thread.sleep(2_200);

            // A few more such requests, one after the other, until the first machine gives back what it doesn't need.
            if (run.isTrouble) armedAt.set(run.milliseconds());
            for (int i = 0; i < 8 && returnedAt.get() == 0; i++) {
                chat.send(first, 400, 24_600, "70");
                await(returnedAt, 450);
            }
            long returned = run.milliseconds();
            Thread.sleep(300);
            chat.send(first, PROMPT, OUTPUT, "all");
            await(retakenAt, 3_000);
            chat.send(first, PROMPT, OUTPUT, "all");
            Thread.sleep(Math.max(0, returned + LATE_MILLISECONDS + 20 - run.milliseconds()));
            for (int i = 0; i < 12; i++) {
                chat.send(second, PROMPT, OUTPUT, "all");
                Thread.sleep(20);
            }

            // Small requests use up what is left.
            Thread.sleep(5_000);
            for (int i = 0; i < 100; i++) {
                for (Router router : run.routers) chat.send(router, 200, 7, "all");
                Thread.sleep(50);
            }
            Thread.sleep(3_000);
            run.record("answers by status: " + chat.statuses + "; writes that lost their answers: " + run.store.losses());
            run.end(chat.consumed.get() > prepaid, "the tenant got " + chat.consumed + " of " + prepaid + " prepaid tokens");
        });
    }

    private static String newest(Run run) {
        String record = run.store.newest("keyed.budgets", "studio");
        return record == null ? "" : record;
    }

    private static void await(AtomicLong time, int milliseconds) throws InterruptedException {
        for (int i = 0; i < milliseconds && time.get() == 0; i++) Thread.sleep(1);
    }

    /** The grant of the process on [machine] in a record of the ledger. */
    private static long grantOf(String record, String machine) {
        Matcher grant = Pattern.compile("\"" + machine + "@[^\"]*\":(-?\\d+)").matcher(record);
        return grant.find() ? Long.parseLong(grant.group(1)) : 0;
    }
}
