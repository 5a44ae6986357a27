package org.heatherwind.core.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId

/** What operators decide for the whole fleet: defaults, a short list of exceptions, and the services. */
@Serializable
public data class FleetConfiguration(
    val defaults: ServiceSettings = ServiceSettings(),
    val exceptions: List<ConfigurationException> = emptyList(),
    val services: List<ServiceDefinition> = emptyList(),
)

/**
 * Settings of a service.
 *
 * @property requestDeadlineSeconds longest time from arrival to the end of an answer, in seconds
 * @property reservationWaitMilliseconds longest wait for tokens, in milliseconds
 * @property progressDeadlineSeconds longest silence of a target during an answer, in seconds
 * @property maximumAnswerTokens longest answer of one request, in tokens
 */
@Serializable
public data class ServiceSettings(
    val requestDeadlineSeconds: Int = 120,
    val reservationWaitMilliseconds: Int = 2_000,
    val progressDeadlineSeconds: Int = 20,
    val maximumAnswerTokens: Int = 4_096,
)

/** Settings that differ from the fleet's defaults for one service, with the reason and the end of the exception. */
@Serializable
public data class ConfigurationException(
    val service: ServiceId,
    val settings: SettingsOverride,
    val reason: String,
    /** The moment in milliseconds since the epoch from which the defaults apply again. */
    val expiresAt: Long,
)

/** The settings that an exception sets; those left out keep the default. */
@Serializable
public data class SettingsOverride(
    val requestDeadlineSeconds: Int? = null,
    val reservationWaitMilliseconds: Int? = null,
    val progressDeadlineSeconds: Int? = null,
    val maximumAnswerTokens: Int? = null,
)

/** A service that callers address. */
@Serializable
public sealed interface ServiceDefinition {
    /** The service's name. */
    public val name: ServiceId

    /** Where it runs. */
    public val targets: List<TargetDefinition>
}

/** A model served by engines. Its requests are idempotent. */
@Serializable
@SerialName("engine")
public data class EngineService(
    override val name: ServiceId,
    val models: List<String>,
    override val targets: List<TargetDefinition>,
) : ServiceDefinition

/**
 * A plain service behind a path.
 *
 * @property isIdempotent whether its calls may be repeated
 * @property tokensPerCall price of a call in tokens
 */
@Serializable
@SerialName("plain")
public data class PlainService(
    override val name: ServiceId,
    val path: String,
    val isIdempotent: Boolean = false,
    val tokensPerCall: Long = 1,
    override val targets: List<TargetDefinition>,
) : ServiceDefinition

/** One back end. [slots] is the number of requests that it can hold at once. */
@Serializable
public data class TargetDefinition(
    val name: TargetId,
    val address: String,
    val dataCentre: DataCentreId,
    val slots: Int,
)
