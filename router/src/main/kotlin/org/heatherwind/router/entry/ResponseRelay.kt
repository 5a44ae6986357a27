package org.heatherwind.router.entry

import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.identity.WallClock
import org.heatherwind.core.result.ResultCode

/**
 * Relays an engine's response to its caller chunk by chunk, within the progress and request deadlines and the reserved
 * tokens.
 */
internal class ResponseRelay(
    private val stream: EngineEventStream,
    private val response: CallerResponse,
    private val meter: ResponseMeter,
    private val progressTimeoutMilliseconds: Long,
    private val deadline: Timestamp,
    private val clock: WallClock,
) {
    /** Tokens to charge for the response received so far. */
    val chargedTokens: Long get() = meter.chargedTokens

    /** Relays all chunks from [first] on and returns how the response ended; does not send the end of the response. */
    suspend fun relay(first: EngineEvent.Chunk): ResultCode {
        var event: EngineEvent = first
        while (true) {
            when (event) {
                is EngineEvent.Done -> return ResultCode.COMPLETED

                is EngineEvent.Malformed -> return ResultCode.ANSWER_INTERRUPTED

                is EngineEvent.Chunk -> {
                    meter.add(event)
                    if (meter.exceedsLimit) return ResultCode.ANSWER_INTERRUPTED
                    response.write(event)
                }
            }
            when (val read = stream.next(remainingMilliseconds())) {
                is EngineReadResult.Event -> event = read.event
                is EngineReadResult.TimedOut -> return ResultCode.TARGET_SILENT
                is EngineReadResult.Disconnected -> return ResultCode.ANSWER_INTERRUPTED
            }
        }
    }

    private fun remainingMilliseconds(): Long =
        minOf(progressTimeoutMilliseconds, deadline.remainingMilliseconds(clock.now()))
}
