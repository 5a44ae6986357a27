package org.heatherwind.core.configuration

import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.Timestamp

/** Violation of a rule: the [path] of the value in the document, and what is [expected] there. */
public data class ConfigurationProblem(val path: String, val expected: String)

/** Validates configurations, and resolves the settings in force for a service. */
public object ConfigurationRules {
    private const val MAXIMUM_EXCEPTIONS = 20
    private const val MAXIMUM_DEADLINE_SECONDS = 3_600
    private const val MAXIMUM_WAIT_MILLISECONDS = 60_000
    private const val MAXIMUM_RESPONSE_TOKENS = 1_000_000
    private const val MAXIMUM_SLOTS = 10_000
    private const val MAXIMUM_TOKENS_PER_CALL = 1_000_000L

    /** Returns all violations in [configuration]; empty if it is valid. */
    public fun problemsOf(configuration: FleetConfiguration): List<ConfigurationProblem> = buildList {
        addAll(settingsProblems("defaults", configuration.defaults))
        addAll(exceptionProblems(configuration))
        addAll(serviceProblems(configuration.services))
    }

    /** Returns the settings of [service] at [now]: the defaults, overridden by the exceptions that have not expired. */
    public fun settingsOf(configuration: FleetConfiguration, service: ServiceId, now: Timestamp): ServiceSettings =
        configuration.exceptions
            .filter { it.service == service && Timestamp(it.expiresAt) > now }
            .fold(configuration.defaults) { settings, exception -> settings.overriddenBy(exception.settings) }

    private fun ServiceSettings.overriddenBy(overrides: SettingsOverride) = ServiceSettings(
        requestDeadlineSeconds = overrides.requestDeadlineSeconds ?: requestDeadlineSeconds,
        reservationWaitMilliseconds = overrides.reservationWaitMilliseconds ?: reservationWaitMilliseconds,
        progressDeadlineSeconds = overrides.progressDeadlineSeconds ?: progressDeadlineSeconds,
        maximumAnswerTokens = overrides.maximumAnswerTokens ?: maximumAnswerTokens,
    )

    private fun settingsProblems(path: String, settings: ServiceSettings) = listOfNotNull(
        rangeProblem("$path.requestDeadlineSeconds", settings.requestDeadlineSeconds, 1..MAXIMUM_DEADLINE_SECONDS),
        rangeProblem(
            "$path.reservationWaitMilliseconds",
            settings.reservationWaitMilliseconds,
            1..MAXIMUM_WAIT_MILLISECONDS,
        ),
        rangeProblem("$path.progressDeadlineSeconds", settings.progressDeadlineSeconds, 1..MAXIMUM_DEADLINE_SECONDS),
        rangeProblem("$path.maximumAnswerTokens", settings.maximumAnswerTokens, 1..MAXIMUM_RESPONSE_TOKENS),
    )

    private fun exceptionProblems(configuration: FleetConfiguration) = buildList {
        val names = configuration.services.map { it.name }.toSet()
        if (configuration.exceptions.size > MAXIMUM_EXCEPTIONS) {
            add(ConfigurationProblem("exceptions", "at most $MAXIMUM_EXCEPTIONS exceptions"))
        }
        configuration.exceptions.forEachIndexed { index, exception ->
            val path = "exceptions[$index]"
            if (exception.reason.isBlank()) add(ConfigurationProblem("$path.reason", "a reason that is not blank"))
            if (exception.service !in names) add(ConfigurationProblem("$path.service", "the name of a service"))
            addAll(settingsProblems("$path.settings", configuration.defaults.overriddenBy(exception.settings)))
        }
    }

    private fun serviceProblems(services: List<ServiceDefinition>) = buildList {
        addAll(duplicateProblems("services", services.map { it.name.value }))
        addAll(duplicateProblems("services.models", services.filterIsInstance<EngineService>().flatMap { it.models }))
        addAll(duplicateProblems("services.path", services.filterIsInstance<PlainService>().map { it.path }))
        addAll(duplicateProblems("services.targets", services.flatMap { it.targets }.map { it.name.value }))
        services.forEachIndexed { index, service -> addAll(serviceProblems("services[$index]", service)) }
    }

    private fun serviceProblems(path: String, service: ServiceDefinition) = buildList {
        when (service) {
            is EngineService ->
                if (service.models.isEmpty()) add(ConfigurationProblem("$path.models", "at least one model"))

            is PlainService -> addAll(plainServiceProblems(path, service))
        }
        service.targets.forEachIndexed { index, target ->
            rangeProblem("$path.targets[$index].slots", target.slots, 1..MAXIMUM_SLOTS)?.let(::add)
            if (!target.address.startsWith("http://") && !target.address.startsWith("https://")) {
                add(ConfigurationProblem("$path.targets[$index].address", "an http or https address"))
            }
        }
    }

    private fun plainServiceProblems(path: String, service: PlainService) = buildList {
        if (!service.path.startsWith("/")) add(ConfigurationProblem("$path.path", "a path that starts with /"))
        if (service.tokensPerCall !in 1..MAXIMUM_TOKENS_PER_CALL) {
            add(ConfigurationProblem("$path.tokensPerCall", "1 to $MAXIMUM_TOKENS_PER_CALL"))
        }
    }

    private fun duplicateProblems(path: String, names: List<String>) =
        names.groupingBy { it }.eachCount().filterValues { it > 1 }.keys
            .map { ConfigurationProblem(path, "unique names, but '$it' occurs more than once") }

    private fun rangeProblem(path: String, value: Int, allowed: IntRange): ConfigurationProblem? =
        if (value in allowed) null else ConfigurationProblem(path, "${allowed.first} to ${allowed.last}")
}
