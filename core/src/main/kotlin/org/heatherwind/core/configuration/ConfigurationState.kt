package org.heatherwind.core.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable

/** An accepted configuration. Versions are numbered from 1; version 0 is the empty configuration. */
@Serializable
public data class ConfigurationVersion(
    val version: Long,
    val publisher: String,
    val changeKey: String,
    val configuration: FleetConfiguration,
)

/** Result of a published change. */
public sealed interface PublicationResult {
    /** The change is in force as [version]. */
    public data class Accepted(val version: ConfigurationVersion) : PublicationResult

    /**
     * The change's base is not the version in force. [winner] is the version accepted right after that base or, if
     * that one is not in the history, the version in force.
     */
    public data class Outdated(val winner: ConfigurationVersion) : PublicationResult

    /** The change violates rules. */
    public data class Invalid(val problems: List<ConfigurationProblem>) : PublicationResult

    /** The change was already accepted and is in force or in the history. */
    public data object Repeated : PublicationResult
}

/**
 * The configuration in force and the last versions before it. The version never decreases.
 *
 * @property history up to 50 earlier versions, oldest first
 */
public data class ConfigurationState(
    val current: ConfigurationVersion = EMPTY,
    val history: PersistentList<ConfigurationVersion> = persistentListOf(),
) {
    /** Returns this state after [change], and the result of the change. Changes must be applied in the log's order. */
    public fun publish(change: ConfigurationPublished): ConfigurationChangeResult {
        val problems = ConfigurationRules.problemsOf(change.configuration)
        return when {
            isRepeated(change.changeKey) -> ConfigurationChangeResult(this, PublicationResult.Repeated)

            change.base != current.version ->
                ConfigurationChangeResult(this, PublicationResult.Outdated(acceptedAfter(change.base)))

            problems.isNotEmpty() -> ConfigurationChangeResult(this, PublicationResult.Invalid(problems))

            else -> accept(change)
        }
    }

    /** Returns this state with [version], copied from a peer or the log, in force if it is newer than [current]. */
    public fun adopt(version: ConfigurationVersion): ConfigurationState =
        if (version.version <= current.version) this else copy(current = version, history = history.addBounded(current))

    private fun accept(change: ConfigurationPublished): ConfigurationChangeResult {
        val version = ConfigurationVersion(
            version = current.version + 1,
            publisher = change.publisher,
            changeKey = change.changeKey,
            configuration = change.configuration,
        )
        return ConfigurationChangeResult(adopt(version), PublicationResult.Accepted(version))
    }

    private fun acceptedAfter(base: Long): ConfigurationVersion =
        history.firstOrNull { it.version == base + 1 } ?: current

    private fun isRepeated(changeKey: String): Boolean =
        changeKey == current.changeKey || history.any { it.changeKey == changeKey }

    private fun PersistentList<ConfigurationVersion>.addBounded(version: ConfigurationVersion) =
        (if (size >= MAXIMUM_HISTORY_SIZE) removeAt(0) else this).add(version)

    public companion object {
        private const val MAXIMUM_HISTORY_SIZE = 50
        private val EMPTY = ConfigurationVersion(0, "", "", FleetConfiguration())
    }
}

/** State after a published change, and the result of the change. */
public data class ConfigurationChangeResult(val state: ConfigurationState, val result: PublicationResult)
