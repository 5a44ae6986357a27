package org.heatherwind.core.placement

import kotlinx.collections.immutable.persistentListOf
import org.heatherwind.core.fleet.EngineProfile
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.work.PromptPart
import org.heatherwind.core.work.TokenDemand
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.math.roundToLong
import kotlin.random.Random

/**
 * Eighty routers before toy targets. Each has its own view, from reports that are 200 ms old and come with answers, and
 * from announcements that reach some of the others.
 *
 * @property share share of the requests that router 0 gets; the others get the rest in equal parts
 * @property load share of the time in which a target of the usual speed is at work, if all are
 * @property hotShare share of the requests that have the same long shared part
 * @property report what target [Int] states, given the requests at it
 */
class ToyFleet(
    private val targets: List<ToyTarget>,
    private val load: Double,
    private val share: Double = 1.0 / ROUTERS,
    private val hotShare: Double = 0.0,
    private val report: (Int, Int, Long) -> Pair<Int, Double?> = { _, running, _ -> running to null },
) {
    private class Answer(val at: Long, val router: Int, val target: Int, val request: InFlightRequest)

    private val random = Random(SEED)
    private val routers = List(ROUTERS) {
        ToyTarget.loads(targets.size, reluctance = random::nextDouble)
    }
    private val answers = PriorityQueue<Answer>(compareBy { it.at })

    /** Times to the first event of the requests that were sent after the first seconds. */
    val latencies = ArrayList<Double>()

    /** Work of the busiest target, relative to the mean. */
    val busiestToMean: Double get() = targets.maxOf { it.busyMilliseconds } / targets.sumOf { it.busyMilliseconds } *
        targets.size

    /** Returns the latency that a share [quantile] of the requests stays below. */
    fun latency(quantile: Double): Double = latencies.sorted()[(latencies.size * quantile).toInt()]

    /** Returns the share of the requests whose first event is late. */
    fun lateShare(): Double = latencies.count { it > OBJECTIVE_MILLISECONDS }.toDouble() / latencies.size

    /** How often each shared part was read, in the mean. */
    val readsOfPart: Double get() = targets.flatMap { it.cached }.let { it.size.toDouble() / it.toSet().size }

    /** Returns the number of targets that have read the hot part. */
    fun readersOfHotPart(): Int = targets.count { HOT in it.cached }

    /** Lets the routers serve requests for [milliseconds]. */
    fun run(milliseconds: Long = 20_000): ToyFleet = apply {
        var at = 0.0
        while (at < milliseconds) {
            at += -ln(1 - random.nextDouble()) * MEAN_PREFILL_MILLISECONDS / (load * targets.size)
            deliverUntil(at.toLong())
            send(at.toLong())
        }
    }

    private fun send(at: Long) {
        val now = MonotonicTime(at)
        val router = if (random.nextDouble() < share) 0 else 1 + random.nextInt(ROUTERS - 1)
        val tokens = drawTokens()
        val aims = PlacementAims(now.plusMilliseconds(OBJECTIVE_MILLISECONDS), OBJECTIVE_MILLISECONDS)
        val placement =
            checkNotNull(PlacementPolicy.choose(routers[router], engine, tokens, emptySet(), 99, now, aims = aims))
        val chosen = placement.target
        val request = chosen.recordSent(tokens, placement.prefillMilliseconds, placement.expectedMilliseconds, now)
        val target = routers[router].indexOf(chosen)
        val readAt = targets[target].read(tokens, at)
        answers += Answer(readAt.roundToLong(), router, target, request)
        if (at > LEARNING_MILLISECONDS) latencies += readAt - at
        announce(router, target, placement, tokens, now)
    }

    private fun announce(sender: Int, target: Int, placement: Placement, tokens: TokenDemand, now: MonotonicTime) {
        val stated = placement.target.learnedSlowness.ownFactor(now)
        repeat(ANNOUNCED_TO) {
            val receiver = random.nextInt(ROUTERS)
            if (receiver == sender) return@repeat
            val load = routers[receiver][target]
            stated?.let { load.learnedSlowness.recordStated(it, "router-$sender", now) }
            load.recordAnnounced(placement.prefillMilliseconds, tokens.sharedParts, now)
        }
    }

    private fun deliverUntil(at: Long) {
        while (true) {
            val answer = answers.peek()?.takeIf { it.at <= at } ?: return
            answers.remove()
            val load = routers[answer.router][answer.target]
            val seenAt = answer.at - REPORT_AGE_MILLISECONDS
            val (running, slowdown) = report(answer.target, targets[answer.target].running(seenAt), answer.at)
            val now = MonotonicTime(answer.at)
            load.recordLoadReport(running, waiting = 0, now = now, slowdown = slowdown)
            load.recordFirstEvent(answer.request, now)
            load.recordEnded(answer.request)
        }
    }

    private fun drawTokens(): TokenDemand {
        val key = if (random.nextDouble() < hotShare) HOT else "part-${random.nextInt(PARTS)}"
        val own = random.nextLong(OWN_TOKENS)
        val parts = persistentListOf(PromptPart(key, SHARED_TOKENS), PromptPart("own-${random.nextInt()}", own))
        return TokenDemand(SHARED_TOKENS + own, maximumOutput = 500, parts)
    }

    companion object {
        const val ROUTERS = 80
        const val SEED = 38L

        /** Latency objective of the longest requests of the strictest deployment. */
        const val OBJECTIVE_MILLISECONDS = 500L
        private const val HOT = "hot"
        private const val PARTS = 700
        private const val SHARED_TOKENS = 5_400L
        private const val OWN_TOKENS = 12_000L
        private const val MEAN_PREFILL_MILLISECONDS = 105.0
        private const val ANNOUNCED_TO = 24
        private const val REPORT_AGE_MILLISECONDS = 200L
        private const val LEARNING_MILLISECONDS = 5_000L
        val engine = EngineProfile(slots = 16, cacheCapacityTokens = 392_254, tokensPerEvent = 11)
    }
}
