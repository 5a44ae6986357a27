package org.heatherwind.core.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One record of the configuration stream. */
@Serializable
public sealed interface ConfigurationRecord

/**
 * A configuration published by an operator.
 *
 * @property base version on which the change is based; the change is accepted only if that version is still in force
 * @property changeKey identifies the change, so that repeats of the record are recognised
 */
@Serializable
@SerialName("change")
public data class ConfigurationPublished(
    val base: Long,
    val publisher: String,
    val changeKey: String,
    val configuration: FleetConfiguration,
) : ConfigurationRecord

/**
 * The version in force when the record was written, for readers that start after the log's retention has removed the
 * change itself.
 */
@Serializable
@SerialName("copy")
public data class ConfigurationCopied(val version: ConfigurationVersion) : ConfigurationRecord
