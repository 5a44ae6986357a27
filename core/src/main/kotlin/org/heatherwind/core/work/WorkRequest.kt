package org.heatherwind.core.work

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.fleet.Route
import org.heatherwind.core.identity.MonotonicTime

/**
 * One caller's request, in the form that placement, limits, retries and budgets work on.
 *
 * @property id the caller's name for this try; a repeat by the caller has another one
 * @property route the route that matched
 * @property customer who pays, or null on a public route
 * @property tokens token counts of a generation, or null for a plain call
 * @property receivedAt when the head of the request arrived
 * @property deadline when the caller or the route gives up, whichever is first
 */
public data class WorkRequest(
    val id: String,
    val route: Route,
    val customer: Customer?,
    val tokens: TokenDemand?,
    val receivedAt: MonotonicTime,
    val deadline: MonotonicTime,
)

/**
 * The size of a generation in tokens.
 *
 * @property prompt tokens to read
 * @property maximumOutput tokens that may be generated at most
 * @property parts the prompt's parts in order; the last belongs to this request or its session
 */
public data class TokenDemand(
    val prompt: Long,
    val maximumOutput: Long,
    val parts: ImmutableList<PromptPart> = persistentListOf(),
) {
    /** The parts that other prompts may share; the last part belongs to this request or its session. */
    val sharedParts: List<PromptPart> get() = parts.dropLast(1)

    /** Tokens of the prompt that other prompts may share. */
    val sharedTokens: Long get() = sharedParts.sumOf { it.tokens }

    /** Tokens that the request may consume at most. */
    val worstCase: Long get() = prompt + maximumOutput
}

/**
 * One part of a prompt.
 *
 * @property key equal keys after equal parts hold equal text
 * @property tokens length of the part
 */
public data class PromptPart(val key: String, val tokens: Long)

/** How often a request may run. */
public sealed interface Repeatability {
    /** Running it again does no harm. */
    public data object Idempotent : Repeatability

    /** It runs at most once. */
    public data object AtMostOnce : Repeatability

    /** A new run may go on after the last event that the caller has. */
    public data object Resumable : Repeatability
}
