package org.heatherwind.core.work

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.fleet.Route
import org.heatherwind.core.identity.MonotonicTime

/**
 * A caller's request in the form that placement, limits, retries and budgets use.
 *
 * @property id the caller's identifier of this attempt; a repetition by the caller has another one
 * @property route the route that matched
 * @property customer the customer to charge, or null on a public route
 * @property tokens size of a generation, which a model engine runs, or null for a plain call to another service
 * @property receivedAt when the head of the request arrived
 * @property deadline the earlier of the caller's deadline and the route's timeout
 */
public data class WorkRequest(
    val id: String,
    val route: Route,
    val customer: Customer?,
    val tokens: TokenDemand?,
    val receivedAt: MonotonicTime,
    val deadline: MonotonicTime,
) {
    /** Rank among requests; 0 is the most urgent. A customer's rank replaces the route's. */
    public val rank: Int get() = customer?.priority ?: route.priority
}

/**
 * The size of a generation in tokens.
 *
 * @property prompt length of the prompt
 * @property maximumOutput largest number of tokens that may be generated
 * @property parts the prompt's parts in order; the last belongs to this request or its session
 */
public data class TokenDemand(
    val prompt: Long,
    val maximumOutput: Long,
    val parts: ImmutableList<PromptPart> = persistentListOf(),
) {
    /** The parts that other prompts may share; the last part belongs to this request or its session. */
    val sharedParts: List<PromptPart> get() = parts.dropLast(1)

    /** Number of prompt tokens in [sharedParts]. */
    val sharedTokens: Long get() = sharedParts.sumOf { it.tokens }

    /** Largest number of tokens that the request may consume. */
    val worstCaseTokens: Long get() = prompt + maximumOutput

    public companion object {
        /** The token counts that a request may state. Sums of many of them are far from overflowing. */
        public val COUNTS: LongRange = 0L..1_000_000_000L
    }
}

/**
 * One part of a prompt.
 *
 * @property key identifies the text: parts with equal keys that follow equal parts have the same text
 * @property tokens length of the part
 */
public data class PromptPart(val key: String, val tokens: Long)

/** Whether a request may run more than once. */
public sealed interface Repeatability {
    /** Running it again has no further effect. */
    public data object Idempotent : Repeatability

    /** It runs at most once. */
    public data object AtMostOnce : Repeatability

    /** A new run may resume after the last event that the caller received. */
    public data object Resumable : Repeatability
}
