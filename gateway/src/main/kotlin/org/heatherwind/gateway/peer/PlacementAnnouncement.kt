package org.heatherwind.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Announces to other routers that a long prompt was just sent to a target.
 *
 * @property target the target's identifier in the list of targets
 * @property prefillMilliseconds estimated duration of the prompt's prefill
 * @property parts the parts of the prompt that other prompts share, in order
 */
@Serializable
internal data class PlacementAnnouncement(
    val target: String,
    @SerialName("readingMilliseconds") val prefillMilliseconds: Long,
    val parts: List<AnnouncedPart>,
)

/** A part of a prompt that other prompts share, with its cache key and its length in tokens. */
@Serializable
internal data class AnnouncedPart(val key: String, val tokens: Long)
