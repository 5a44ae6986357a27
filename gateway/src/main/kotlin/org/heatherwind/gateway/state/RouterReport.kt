package org.heatherwind.gateway.state

import kotlinx.serialization.Serializable

/**
 * What one router tells the others about once a second.
 *
 * @property incarnation the process that reports
 * @property sequence grows with each report of the process
 * @property usedTokens tokens charged since its start, by customer
 * @property isLeaving whether it takes no new callers
 */
@Serializable
internal data class RouterReport(
    val incarnation: String,
    val sequence: Long,
    val usedTokens: Map<String, Long> = emptyMap(),
    val isLeaving: Boolean = false,
)
