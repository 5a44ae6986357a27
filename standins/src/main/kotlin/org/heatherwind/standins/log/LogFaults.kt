package org.heatherwind.standins.log

/**
 * What goes wrong with a log stand-in at present.
 *
 * @property isOut whether nothing is answered and nothing is appended
 * @property losesAnswers whether appends take effect but are answered with an error
 * @property delayMilliseconds added to every answer
 */
public data class LogFaults(
    val isOut: Boolean = false,
    val losesAnswers: Boolean = false,
    val delayMilliseconds: Long = 0,
)
