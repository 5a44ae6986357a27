package org.heatherwind.standins.log

/**
 * Faults that a log stand-in simulates.
 *
 * @property isOut whether all reads and appends fail without effect
 * @property losesResponses whether appends take effect but return an error
 * @property delayMilliseconds delay of each read and append
 */
public data class LogFaults(
    val isOut: Boolean = false,
    val losesResponses: Boolean = false,
    val delayMilliseconds: Long = 0,
)
