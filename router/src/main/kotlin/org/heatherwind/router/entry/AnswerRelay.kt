package org.heatherwind.router.entry

import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.identity.WallClock
import org.heatherwind.core.result.ResultCode

/** Passes an engine's answer on to its caller, piece by piece, within the deadlines and the reservation. */
internal class AnswerRelay(
    private val stream: EngineStream,
    private val answer: CallerResponse,
    private val meter: AnswerMeter,
    private val progressMilliseconds: Long,
    private val deadline: Timestamp,
    private val clock: WallClock,
) {
    /** Tokens to bill for what was received so far. */
    val charged: Long get() = meter.charged

    /** Passes everything on from [first]; returns how the answer ended, with its end not yet sent. */
    suspend fun passOn(first: EngineEvent.Piece): ResultCode {
        var event: EngineEvent = first
        while (true) {
            when (event) {
                is EngineEvent.Done -> return ResultCode.COMPLETED

                is EngineEvent.Unreadable -> return ResultCode.ANSWER_INTERRUPTED

                is EngineEvent.Piece -> {
                    meter.add(event)
                    if (meter.isOverrun) return ResultCode.ANSWER_INTERRUPTED
                    answer.piece(event)
                }
            }
            when (val read = stream.next(timeLeft())) {
                is EngineRead.Event -> event = read.event
                is EngineRead.Silent -> return ResultCode.TARGET_SILENT
                is EngineRead.Broken -> return ResultCode.ANSWER_INTERRUPTED
            }
        }
    }

    private fun timeLeft(): Long = minOf(progressMilliseconds, deadline.millisecondsLeft(clock.now()))
}
