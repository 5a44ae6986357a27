package org.heatherwind.gateway.crash

import org.heatherwind.core.crash.CrashSuspects
import org.heatherwind.core.crash.SuspectKey
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.state.RouterReport

/**
 * What this router knows of crashes of targets: its own observations, which it reports, and those of other routers.
 * Confined to the event loop; bounded in size.
 */
internal class CrashEvidence(
    private val self: Incarnation,
    private val clock: MonotonicClock,
    private val wallClock: () -> Timestamp,
) {
    val suspects = CrashSuspects()
    private val ownCrashes = object : LinkedHashMap<String, OwnCrash>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, OwnCrash>): Boolean = size > MAXIMUM_OWN_CRASHES
    }

    /**
     * Records that the target process [process] crashed before it had outlived the begin of its answers to requests of
     * this router with [keys]. Keys that are answered all the time are ignored. Returns the others, at most the
     * [MAXIMUM_KEYS_PER_CRASH] most suspicious ones, in the order of [keys].
     */
    fun recordOwnCrash(process: String, keys: List<SuspectKey>): List<SuspectKey> {
        val now = clock.now()
        val recorded = mostSuspicious(keys.filterNot { suspects.isAnsweredConstantly(it, now) }, process, now)
        if (recorded.isEmpty()) return recorded
        val crash = ownCrashes.getOrPut(process) { OwnCrash(now, wallClock()) }
        crash.keys += recorded
        if (crash.keys.size > MAXIMUM_KEYS_PER_CRASH) {
            crash.keys.retainAll(mostSuspicious(crash.keys.toList(), process, now).toSet())
        }
        suspects.recordCrash(process, recorded, crash.at, now)
        return recorded
    }

    /**
     * Returns those of [keys] against which there is most evidence: that had most crashes, then those whose last answer
     * is longest ago. Among equals the choice differs from crash to crash, so that no key is left out each time.
     */
    private fun mostSuspicious(keys: List<SuspectKey>, process: String, now: MonotonicTime): List<SuspectKey> {
        if (keys.size <= MAXIMUM_KEYS_PER_CRASH) return keys
        val chosen = keys.distinct().sortedWith(
            compareByDescending<SuspectKey> { suspects.crashCount(it, now) }
                .thenBy { suspects.recentAnswerAt(it, now) ?: MonotonicTime.distantPast }
                .thenBy { (process + it.value).hashCode() },
        ).take(MAXIMUM_KEYS_PER_CRASH).toSet()
        return keys.filter { it in chosen }
    }

    /**
     * Records that a target has outlived the begin of its answer to a request with [keys] here. Returns those that this
     * clears of crashes.
     */
    fun recordAnswer(keys: List<SuspectKey>): List<SuspectKey> = keys.filter { recordAnswer(it, clock.now()) }

    private fun recordAnswer(key: SuspectKey, answeredAt: MonotonicTime): Boolean {
        val isCleared = suspects.recordAnswer(key, answeredAt)
        if (isCleared) removeOwn(key, answeredAt)
        return isCleared
    }

    /** Returns the last answers to requests with [keys], as far as they are recent. */
    fun answersTo(keys: Collection<SuspectKey>): List<NoticedAnswer> {
        val now = clock.now()
        return keys.mapNotNull { key ->
            suspects.recentAnswerAt(key, now)?.let { NoticedAnswer(key.value, now.millisecondsSince(it)) }
        }
    }

    /** Adopts the [answers] at another router. Returns the keys that this clears of crashes. */
    fun adopt(answers: List<NoticedAnswer>): List<SuspectKey> {
        val now = clock.now()
        return answers.mapNotNull { answer ->
            val answeredAt = now.plusMilliseconds(-answer.ageMilliseconds.coerceAtLeast(0))
            SuspectKey.parse(answer.key)?.takeIf { recordAnswer(it, answeredAt) }
        }
    }

    /** Returns the [processes] of this router's observations as they are now. */
    fun noticeOf(processes: Set<String>): List<NoticedCrash> = processes.mapNotNull { process ->
        ownCrashes[process]?.takeIf { it.keys.isNotEmpty() }?.let { crash ->
            NoticedCrash(process, clock.now().millisecondsSince(crash.at), crash.keys.map { it.value })
        }
    }

    /** Adopts the observations in the [notice] of another router. Returns the keys that are blocked by it. */
    fun adopt(notice: CrashNotice): List<SuspectKey> {
        adopt(notice.answers)
        val now = clock.now()
        return notice.crashes.flatMap { crash ->
            recordCrash(crash.process, crash.keys, now.plusMilliseconds(-crash.ageMilliseconds.coerceAtLeast(0)))
        }
    }

    /**
     * Adopts the observations in the [report] of another router or a predecessor. This process continues to report
     * those of its predecessor. Returns the keys that are blocked by it.
     */
    fun adopt(report: RouterReport): List<SuspectKey> {
        val incarnation = Incarnation(report.incarnation)
        if (incarnation == self || report.crashes.isEmpty()) return emptyList()
        val now = clock.now()
        val wallNow = wallClock().epochMilliseconds
        return report.crashes.flatMap { crash ->
            val crashedAt = now.plusMilliseconds(-(wallNow - crash.epochMilliseconds).coerceAtLeast(0))
            if (incarnation.instance == self.instance) adoptAsOwn(crash, crashedAt)
            recordCrash(crash.process, crash.keys, crashedAt)
        }
    }

    /**
     * Returns this router's observations for its report. Most requests do not come again, so one that is no suspect by
     * itself after a single crash is left out.
     */
    fun reports(): List<CrashReport> {
        if (ownCrashes.isEmpty()) return emptyList()
        val now = clock.now()
        ownCrashes.values.removeIf { now.millisecondsSince(it.at) >= CrashSuspects.LIFETIME_MILLISECONDS }
        return ownCrashes.mapNotNull { (process, crash) ->
            val keys = crash.keys.filter { !it.isRequest || suspects.crashCount(it, now) > 1 }.map { it.value }
            if (keys.isEmpty()) null else CrashReport(process, crash.wallClockAt.epochMilliseconds, keys)
        }
    }

    private fun adoptAsOwn(crash: CrashReport, crashedAt: MonotonicTime) {
        val keys = crash.keys.mapNotNull { SuspectKey.parse(it) }.take(MAXIMUM_KEYS_PER_CRASH)
        ownCrashes.getOrPut(crash.process) { OwnCrash(crashedAt, Timestamp(crash.epochMilliseconds)) }.keys += keys
    }

    private fun recordCrash(process: String, keys: List<String>, crashedAt: MonotonicTime): List<SuspectKey> {
        val now = clock.now()
        val parsed = keys.take(MAXIMUM_KEYS_PER_CRASH).mapNotNull { SuspectKey.parse(it) }
            .filterNot { suspects.isAnsweredConstantly(it, now) }
        return suspects.recordCrash(process, parsed, crashedAt, now)
    }

    private fun removeOwn(key: SuspectKey, answeredAt: MonotonicTime) {
        ownCrashes.values.forEach { if (it.at <= answeredAt) it.keys -= key }
        ownCrashes.values.removeIf { it.keys.isEmpty() }
    }

    private class OwnCrash(val at: MonotonicTime, val wallClockAt: Timestamp) {
        val keys = LinkedHashSet<SuspectKey>()
    }

    private companion object {
        /** Keeps reports small; crashes under a key that is blocked do not continue. */
        const val MAXIMUM_OWN_CRASHES = 16

        /** A router has a few requests on a target that wait for their answers, with a few parts each. */
        const val MAXIMUM_KEYS_PER_CRASH = 64
    }
}
