package org.heatherwind.gateway.crash

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.heatherwind.core.crash.SuspectKey
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.result.ResultCode
import org.heatherwind.core.work.WorkRequest
import org.heatherwind.gateway.caller.ReceivedRequest
import org.heatherwind.gateway.serve.RouterError
import org.heatherwind.gateway.state.RouterReport
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics

/**
 * Refuses requests whose content crashes targets, and notifies the other routers of crashes. Confined to the event
 * loop.
 *
 * @property evidence what this router knows of crashes
 */
internal class CrashProtection(
    val evidence: CrashEvidence,
    private val detector: TargetCrashDetector,
    private val notifier: CrashNotifier,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) {
    private val unsentProcesses = HashSet<String>()
    private val unsentAnswers = HashSet<SuspectKey>()
    private var isNoticeScheduled = false

    private val partKeys = PartKeys()

    /** Returns the keys of the content of [request]. */
    fun keysOf(work: WorkRequest, request: ReceivedRequest): RequestKeys = RequestKeys(work, request, partKeys)

    /** Number of keys that are blocked. */
    val blockedCount: Int get() = evidence.suspects.blocked(clock.now()).size

    /** Returns the error for a request with [keys] that must not be sent to a target, or null if it may be sent. */
    fun refusalOf(work: WorkRequest, keys: RequestKeys): RouterError? {
        val suspects = evidence.suspects
        if (suspects.isEmpty) return null
        val now = clock.now()
        val key = keys.all.firstOrNull { suspects.isBlocked(it, now) } ?: return null
        log.request(
            work.id,
            "Did not send a request whose content crashed targets.",
            "key" to key,
            "crashes" to suspects.crashCount(key, now),
            "lastCrashAgeMilliseconds" to suspects.lastCrashAt(key, now)?.let { now.millisecondsSince(it) },
        )
        return RouterError(ResultCode.CRASHING_REQUEST_BLOCKED, RETRY_AFTER_MILLISECONDS)
    }

    /** Records that a target has outlived the begin of its answer to a request with [keys]. */
    fun recordAnswer(keys: RequestKeys) {
        val cleared = evidence.recordAnswer(if (evidence.suspects.isEmpty) keys.parts else keys.all)
        if (cleared.isNotEmpty()) announceCleared("here", cleared)
    }

    private fun announceCleared(origin: String, keys: Collection<SuspectKey>) {
        log.stateChange("crashes", "An answer cleared suspects.", "keys" to keys, "origin" to origin)
        unsentAnswers += keys
        scheduleNotice()
    }

    /**
     * Records that the connection to [target] was lost before the answer to a request with [keys] had begun, or soon
     * after. Returns whether the request may be sent to another target. This does not wait until it is certain that the
     * target has not crashed.
     */
    suspend fun recordLostConnection(work: WorkRequest, keys: RequestKeys, target: TargetLoad): Boolean {
        if (detector.hasCrashed(target)) return recordCrash(work, keys, target)
        scope.launch { if (detector.hasCrashedOnRecheck(target)) recordCrash(work, keys, target) }
        return true
    }

    /** Records a crash of [target] under a request with [keys]. Returns whether it may be sent to another target. */
    private fun recordCrash(work: WorkRequest, keys: RequestKeys, target: TargetLoad): Boolean {
        val process = TargetCrashDetector.processOf(target.entry)
        val recorded = evidence.recordOwnCrash(process, keys.all)
        val now = clock.now()
        val crashes = recorded.associateWith { evidence.suspects.crashCount(it, now) }
        metrics.countRequestLostToCrash()
        log.request(
            work.id,
            "The target crashed before or soon after the answer had begun.",
            "target" to target.entry.id.value,
            "crashesByKey" to crashes,
            "blocked" to recorded.filter { evidence.suspects.isBlocked(it, now) },
        )
        if (recorded.isNotEmpty()) {
            unsentProcesses += process
            scheduleNotice()
        }
        return crashes.values.none { it >= MAXIMUM_CRASHES_BEFORE_RETRY }
    }

    /** Adopts the [notice] of another router. */
    fun receiveNotice(notice: CrashNotice): CrashNoticeReceipt {
        val keys = notice.crashes.flatMapTo(LinkedHashSet()) { it.keys }.mapNotNull { SuspectKey.parse(it) }
        val answers = evidence.answersTo(keys)
        logBlocked("notice", evidence.adopt(notice))
        return CrashNoticeReceipt(answers)
    }

    /** Adopts the crashes in the [report] of another router or a predecessor. */
    fun receiveReport(report: RouterReport): Unit = logBlocked(report.incarnation, evidence.adopt(report))

    private fun logBlocked(origin: String, keys: List<SuspectKey>) {
        val now = clock.now()
        keys.forEach { key ->
            log.stateChange(
                "crashes",
                "Blocked a suspect after a crash at another router.",
                "key" to key,
                "crashes" to evidence.suspects.crashCount(key, now),
                "origin" to origin,
            )
        }
    }

    /** A crash ends several requests at once, which are combined into one notice. */
    private fun scheduleNotice() {
        if (isNoticeScheduled) return
        isNoticeScheduled = true
        scope.launch {
            delay(NOTICE_DELAY_MILLISECONDS)
            isNoticeScheduled = false
            val processes = unsentProcesses.toSet()
            val answered = unsentAnswers.toSet()
            unsentProcesses.clear()
            unsentAnswers.clear()
            notifier.notifyPeers(
                compose = {
                    val notice = CrashNotice(evidence.noticeOf(processes), evidence.answersTo(answered))
                    notice.takeIf { it.crashes.isNotEmpty() || it.answers.isNotEmpty() }
                },
                onReceipt = ::receiveReceipt,
            )
        }
    }

    /** Other routers do not know of each other's answers, so those that clear a suspect are forwarded. */
    private fun receiveReceipt(receipt: CrashNoticeReceipt) {
        val unknown = receipt.answers.filter { answer ->
            SuspectKey.parse(answer.key)?.let { evidence.answersTo(listOf(it)).isEmpty() } == true
        }
        val cleared = evidence.adopt(receipt.answers) + unknown.mapNotNull { SuspectKey.parse(it.key) }
        if (cleared.isNotEmpty()) announceCleared("receipt", cleared.toSet())
    }

    private companion object {
        /** Blocked for minutes; a caller that returns sooner would be refused again. */
        const val RETRY_AFTER_MILLISECONDS = 60_000L

        /** A sound request that was on a crashed target by chance is tried once more. */
        const val MAXIMUM_CRASHES_BEFORE_RETRY = 2
        const val NOTICE_DELAY_MILLISECONDS = 10L
    }
}
