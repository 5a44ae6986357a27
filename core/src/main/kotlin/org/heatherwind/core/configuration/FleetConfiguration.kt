package org.heatherwind.core.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId

/** Configuration of the fleet, set by operators: default settings, exceptions for single services, and services. */
@Serializable
public data class FleetConfiguration(
    val defaults: ServiceSettings = ServiceSettings(),
    val exceptions: List<ServiceOverride> = emptyList(),
    val services: List<ServiceDefinition> = emptyList(),
)

/**
 * Settings of a service.
 *
 * @property requestDeadlineSeconds longest time from the arrival of a request to the end of its response, in seconds
 * @property reservationWaitMilliseconds longest time to wait for the reservation of tokens, in milliseconds
 * @property progressDeadlineSeconds longest time without data from a target during a response, in seconds
 * @property maximumAnswerTokens longest response to one request, in tokens
 */
@Serializable
public data class ServiceSettings(
    val requestDeadlineSeconds: Int = 120,
    val reservationWaitMilliseconds: Int = 2_000,
    val progressDeadlineSeconds: Int = 20,
    val maximumAnswerTokens: Int = 4_096,
)

/**
 * An exception: settings of one service that override the fleet's defaults until the exception expires.
 *
 * @property reason why the exception is needed; must not be blank
 * @property expiresAt time from which the defaults apply again, in milliseconds since the epoch
 */
@Serializable
public data class ServiceOverride(
    val service: ServiceId,
    val settings: SettingsOverride,
    val reason: String,
    val expiresAt: Long,
)

/** Settings that an exception overrides. The defaults apply to those that are null. */
@Serializable
public data class SettingsOverride(
    val requestDeadlineSeconds: Int? = null,
    val reservationWaitMilliseconds: Int? = null,
    val progressDeadlineSeconds: Int? = null,
    val maximumAnswerTokens: Int? = null,
)

/** A service to which callers send requests. */
@Serializable
public sealed interface ServiceDefinition {
    /** Name of the service, unique in the fleet. */
    public val name: ServiceId

    /** Back ends that run the service. */
    public val targets: List<TargetDefinition>
}

/** A service of inference engines that serves [models]. Its requests are idempotent. */
@Serializable
@SerialName("engine")
public data class EngineService(
    override val name: ServiceId,
    val models: List<String>,
    override val targets: List<TargetDefinition>,
) : ServiceDefinition

/**
 * An HTTP service whose calls all have the same price.
 *
 * @property path request path of the service; starts with a slash
 * @property isIdempotent whether a call may be repeated
 * @property tokensPerCall price of one call, in tokens
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

/**
 * One back end of a service.
 *
 * @property address base URL, http or https
 * @property slots number of requests that the target can process at the same time
 */
@Serializable
public data class TargetDefinition(
    val name: TargetId,
    val address: String,
    val dataCentre: DataCentreId,
    val slots: Int,
)
