package org.heatherwind.router.operator

import arrow.core.Either
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.configuration.ConfigurationPublished
import org.heatherwind.core.configuration.FleetConfiguration
import org.heatherwind.core.configuration.PublicationResult
import org.heatherwind.core.result.ResultCode
import org.heatherwind.protocol.document.ConfigurationDocument
import org.heatherwind.protocol.operations.ConfigurationReport
import org.heatherwind.protocol.operations.PublishMessage
import org.heatherwind.protocol.operations.PublishReport
import org.heatherwind.router.configuration.ConfigurationReplica

/** Configuration operations for operators. */
internal class ConfigurationOperations(private val replica: ConfigurationReplica) {
    /** Returns the configuration in force. */
    fun report(): ConfigurationReport {
        val current = replica.state.current
        return ConfigurationReport(
            current.version,
            current.publisher,
            ConfigurationDocument.write(current.configuration),
        )
    }

    /** Publishes a change and returns its result. */
    suspend fun publish(message: PublishMessage): PublishReport =
        when (val read = ConfigurationDocument.read(message.document)) {
            is Either.Left -> report(ResultCode.CONFIGURATION_INVALID, problems = read.value.map { it.toString() })
            is Either.Right -> publish(message, read.value)
        }

    private suspend fun publish(message: PublishMessage, configuration: FleetConfiguration): PublishReport {
        val change = ConfigurationPublished(message.base, message.publisher, message.changeKey, configuration)
        val result = withTimeoutOrNull(TIMEOUT_MILLISECONDS) { replica.publish(change) }
        return when (result) {
            null -> report(ResultCode.LOG_UNAVAILABLE)

            is PublicationResult.Accepted -> report(ResultCode.COMPLETED)

            is PublicationResult.Repeated -> report(ResultCode.COMPLETED)

            is PublicationResult.Outdated ->
                report(ResultCode.CONFIGURATION_BASE_OUTDATED, publisher = result.winner.publisher)

            is PublicationResult.Invalid ->
                report(
                    ResultCode.CONFIGURATION_INVALID,
                    problems = result.problems.map { "${it.path}: ${it.expected}" },
                )
        }
    }

    private fun report(
        code: ResultCode,
        publisher: String = replica.state.current.publisher,
        problems: List<String> = emptyList(),
    ) = PublishReport(code.number, replica.state.current.version, publisher, problems)

    private companion object {
        const val TIMEOUT_MILLISECONDS = 5_000L
    }
}
