package org.heatherwind.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Tells other routers of a long prompt that was just sent.
 *
 * @property target the target's name in the list of targets
 * @property prefillMilliseconds time that the target needs to read the prompt
 * @property parts keys and tokens of the parts that other prompts share, in order
 */
@Serializable
internal data class PlacementAnnouncement(
    val target: String,
    @SerialName("readingMilliseconds") val prefillMilliseconds: Long,
    val parts: List<AnnouncedPart>,
)

/** A part of a prompt that other prompts share. */
@Serializable
internal data class AnnouncedPart(val key: String, val tokens: Long)
