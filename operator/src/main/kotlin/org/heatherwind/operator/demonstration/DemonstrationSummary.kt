package org.heatherwind.operator.demonstration

import kotlinx.serialization.Serializable

/**
 * Results of a demonstration.
 *
 * @property cutAnswers requests whose final outcome was an interrupted response
 * @property wrongAnswers complete responses with other text than the engine sends for the prompt
 * @property tokensBilled tokens charged in the ledger
 * @property tokensAnswered tokens of complete responses and accepted orders
 * @property unbilledAnswerTokens tokens of complete responses and accepted orders in excess of the charges
 * @property overspentTokens tokens charged beyond the prepaid amount, and shortfall
 * @property untrueNotRun orders reported as not run that a target ran
 * @property mostInFlightOnATarget highest number of concurrent requests on one engine
 */
@Serializable
public data class DemonstrationSummary(
    val scenario: String,
    val seed: Long,
    val requests: Int,
    val answered: Int,
    val refusedByCode: Map<String, Int>,
    val cutAnswers: Int,
    val wrongAnswers: Int,
    val callerRetries: Int,
    val tokensBilled: Long,
    val tokensAnswered: Long,
    val unbilledAnswerTokens: Long,
    val overspentTokens: Long,
    val ordersAccepted: Int,
    val ordersRunTwice: Int,
    val untrueNotRun: Int,
    val mostInFlightOnATarget: Int,
) {
    /** Whether responses were correct and charged, no budget overspent, and no order run twice or misreported. */
    public val isSuccessful: Boolean
        get() = wrongAnswers == 0 && unbilledAnswerTokens == 0L && overspentTokens == 0L &&
            ordersRunTwice == 0 && untrueNotRun == 0

    /** Formats the summary as text. */
    public fun toText(): String = buildString {
        appendLine("scenario $scenario, seed $seed")
        appendLine("  requests            $requests, answered in full $answered, cut $cutAnswers, wrong $wrongAnswers")
        appendLine("  refused by code     ${refusedByCode.ifEmpty { mapOf("none" to 0) }}")
        appendLine("  callers' retries    $callerRetries")
        appendLine("  tokens billed       $tokensBilled, of which $tokensAnswered for whole answers")
        appendLine("  unbilled tokens     $unbilledAnswerTokens")
        appendLine("  overspent tokens    $overspentTokens")
        appendLine(
            "  orders              $ordersAccepted accepted, $ordersRunTwice run twice, $untrueNotRun untrue 'not run'",
        )
        append("  most in flight      $mostInFlightOnATarget on one engine")
    }
}
