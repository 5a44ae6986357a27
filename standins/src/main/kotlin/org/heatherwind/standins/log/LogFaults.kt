package org.heatherwind.standins.log

/**
 * Faults that a log stand-in simulates.
 *
 * @property isOut whether all reads and appends fail without effect
 * @property losesAnswers whether appends take effect but return an error
 * @property delayMilliseconds delay of each read and append
 */
public data class LogFaults(
    val isOut: Boolean = false,
    val losesAnswers: Boolean = false,
    val delayMilliseconds: Long = 0,
)
