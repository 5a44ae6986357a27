package org.heatherwind.core.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One record of the configuration stream. */
@Serializable
public sealed interface ConfigurationRecord

/** A change that an operator published, made from the version [base]. */
@Serializable
@SerialName("change")
public data class ConfigurationPublished(
    val base: Long,
    val publisher: String,
    val changeKey: String,
    val configuration: FleetConfiguration,
) : ConfigurationRecord

/** The version in force when it was written, for readers that begin after the changes are no longer kept. */
@Serializable
@SerialName("copy")
public data class ConfigurationCopied(val version: ConfigurationVersion) : ConfigurationRecord
