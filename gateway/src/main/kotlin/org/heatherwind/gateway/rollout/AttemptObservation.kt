package org.heatherwind.gateway.rollout

import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.rollout.AnswerCounts
import org.heatherwind.gateway.serve.AttemptResult

/**
 * Observes one attempt on a target during a roll-out and adds it to the [counts] of the target's version.
 *
 * @property expectedMilliseconds predicted time to the first event
 */
internal class AttemptObservation(
    private val counts: AnswerCounts,
    private val expectedMilliseconds: Double,
    private val clock: MonotonicClock,
    private val onEnded: (AttemptObservation) -> Unit,
) {
    private val sentAt = clock.now()
    private var firstEventAt: MonotonicTime? = null
    private var lastEventAt = sentAt
    private var eventCount = 0
    private var isFirstEventCounted = false

    /** Records an event of the response. */
    fun recordEvent() {
        val now = clock.now()
        if (firstEventAt == null) {
            firstEventAt = now
            countFirstEvent(now)
        }
        lastEventAt = now
        eventCount++
    }

    /** Counts the attempt as late if its first event is overdue at [now]. */
    fun checkOverdue(now: MonotonicTime) {
        if (firstEventAt == null && ratioAt(now) >= OVERDUE_RATIO) countFirstEvent(now)
    }

    /** Counts the ended attempt. What the target did not run tells nothing about its version. */
    fun end(result: AttemptResult) {
        onEnded(this)
        when (result) {
            is AttemptResult.Delivered -> recordAnswer(isFailure = false)
            is AttemptResult.Failed -> recordAnswer(isFailure = result.status >= FIRST_SERVER_ERROR)
            is AttemptResult.Incomplete -> recordAnswer(isFailure = true)
            is AttemptResult.NotSent, is AttemptResult.NotRun, AttemptResult.Misdirected -> Unit
        }
    }

    /** Counts an attempt that was given up from the caller's side, if it was late by then. */
    fun abandon() {
        onEnded(this)
        if (firstEventAt == null && ratioAt(clock.now()) >= LATE_RATIO) countFirstEvent(clock.now())
        if (isFirstEventCounted) counts.recordAnswer(isFailure = false)
        countPace()
    }

    private fun recordAnswer(isFailure: Boolean) {
        if (!isFailure && firstEventAt == null) countFirstEvent(clock.now())
        counts.recordAnswer(isFailure)
        countPace()
    }

    private fun countFirstEvent(now: MonotonicTime) {
        if (isFirstEventCounted) return
        isFirstEventCounted = true
        counts.recordFirstEvent(now.millisecondsSince(sentAt).toDouble(), expectedMilliseconds)
    }

    private fun countPace() {
        val first = firstEventAt ?: return
        if (eventCount < MINIMUM_EVENTS) return
        counts.recordPace(lastEventAt.millisecondsSince(first).toDouble() / (eventCount - 1))
    }

    private fun ratioAt(now: MonotonicTime): Double =
        AnswerCounts.firstEventRatio(now.millisecondsSince(sentAt).toDouble(), expectedMilliseconds)

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        /** The pace of shorter streams says little. */
        const val MINIMUM_EVENTS = 4

        /** An attempt this late counts before it ends, so that a version that does not answer is detected. */
        const val OVERDUE_RATIO = 6.0

        /** An attempt that was given up earlier says nothing about the time that it would have taken. */
        const val LATE_RATIO = 2.0
    }
}
