package org.heatherwind.core.placement

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.core.work.TokenDemand

/** A target that reads prompts one after the other, at [speed] times the usual speed, divided by [slowdown]. */
class ToyTarget(private val speed: Double, private val slowdown: (Long) -> Double = { 1.0 }) {
    private class Read(val from: Long, val until: Double)

    private val reads = ArrayList<Read>()

    /** The shared parts that the target has read so far. */
    val cached = HashSet<String>()

    /** Time that the target was at work. */
    var busyMilliseconds = 0.0
        private set

    /** Reads a prompt, of which shared parts are read once only, from [now] on; returns when it is read. */
    fun read(tokens: TokenDemand, now: Long): Double {
        val isCached = tokens.sharedParts.lastOrNull()?.let { !cached.add(it.key) } ?: false
        val unread = if (isCached) tokens.prompt - tokens.sharedTokens else tokens.prompt
        val start = maxOf(reads.lastOrNull()?.until ?: 0.0, now.toDouble())
        val duration = PrefillTime.millisecondsOf(unread, tokens.prompt) * slowdown(start.toLong()) / speed
        busyMilliseconds += duration
        reads += Read(now, start + duration)
        return start + duration
    }

    /** Returns the requests that are at the target at [time] and whose prompts are not read. */
    fun running(time: Long): Int = reads.asReversed().takeWhile { it.until > time }.count { it.from <= time }

    companion object {
        /** Returns a router's view of [count] targets, in the data centres `z0`, `z1` ... by turns. */
        fun loads(
            count: Int,
            slots: Int = 16,
            dataCentres: Int = 1,
            reluctance: () -> Double = { 0.0 },
        ): List<TargetLoad> = List(count) { number ->
            val entry = TargetEntry(
                id = TargetId("t$number"),
                service = ServiceId("pool"),
                host = "10.0.0.$number",
                port = 1,
                dataCentre = DataCentreId("z${number % dataCentres}"),
                version = "v1",
                slots = slots,
                isDraining = false,
            )
            // Only for targets that state their speed, routers learn how fast they are.
            TargetLoad(entry, drawReluctance = reluctance).apply { speed.recordReport(1.0, MonotonicTime(0)) }
        }
    }
}
