package org.heatherwind.operator.demonstration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Results of a demonstration.
 *
 * @property interruptedResponses requests whose final outcome was an interrupted response
 * @property wrongResponses complete responses with other text than the engine sends for the prompt
 * @property tokensBilled tokens charged in the ledger
 * @property expectedTokens tokens of complete responses and accepted orders
 * @property unbilledTokens tokens of complete responses and accepted orders in excess of the charges
 * @property overspentTokens tokens charged beyond the prepaid amount, and shortfall
 * @property ordersWronglyReportedNotRun orders reported as not run although a target ran them
 * @property highestInFlightPerEngine highest number of concurrent requests on one engine
 */
@Serializable
public data class DemonstrationSummary(
    val scenario: String,
    val seed: Long,
    val requests: Int,
    val answered: Int,
    val refusedByCode: Map<String, Int>,
    @SerialName("cutAnswers") val interruptedResponses: Int,
    @SerialName("wrongAnswers") val wrongResponses: Int,
    val callerRetries: Int,
    val tokensBilled: Long,
    @SerialName("tokensAnswered") val expectedTokens: Long,
    @SerialName("unbilledAnswerTokens") val unbilledTokens: Long,
    val overspentTokens: Long,
    val ordersAccepted: Int,
    val ordersRunTwice: Int,
    @SerialName("untrueNotRun") val ordersWronglyReportedNotRun: Int,
    @SerialName("mostInFlightOnATarget") val highestInFlightPerEngine: Int,
) {
    /** Whether responses were correct and charged, no budget overspent, and no order run twice or misreported. */
    public val isSuccessful: Boolean
        get() = wrongResponses == 0 && unbilledTokens == 0L && overspentTokens == 0L &&
            ordersRunTwice == 0 && ordersWronglyReportedNotRun == 0

    /** Formats the summary as text. */
    public fun toText(): String = buildString {
        appendLine("scenario $scenario, seed $seed")
        appendLine(
            "  requests            $requests, answered completely $answered, " +
                "interrupted $interruptedResponses, wrong $wrongResponses",
        )
        appendLine("  refused by code     ${refusedByCode.ifEmpty { mapOf("none" to 0) }}")
        appendLine("  callers' retries    $callerRetries")
        appendLine("  tokens billed       $tokensBilled, expected $expectedTokens for complete responses and orders")
        appendLine("  unbilled tokens     $unbilledTokens")
        appendLine("  overspent tokens    $overspentTokens")
        appendLine(
            "  orders              $ordersAccepted accepted, $ordersRunTwice run twice, " +
                "$ordersWronglyReportedNotRun wrongly reported as not run",
        )
        append("  highest in flight   $highestInFlightPerEngine on one engine")
    }
}
