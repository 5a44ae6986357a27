package org.heatherwind.router.entry

/** Counts what an answer has used, and tells when it reaches what was reserved. All counts are tokens. */
internal class AnswerMeter(
    private val reserved: Long,
    private val answerTokens: Long,
    private val worstPromptTokens: Long,
) {
    private var usage: EngineUsage? = null
    private var pieces = 0L

    /** What is to be billed for the answer so far, never more than was reserved. */
    val charged: Long get() = (usage?.total ?: (worstPromptTokens + pieces)).coerceIn(0, reserved)

    /** Whether the engine went beyond the answer that it was allowed. */
    val isOverrun: Boolean get() = maxOf(usage?.completionTokens ?: 0, pieces) > answerTokens

    fun add(piece: EngineEvent.Piece) {
        if (piece.text.isNotEmpty()) pieces++
        piece.tokens?.let { usage = it }
    }
}
