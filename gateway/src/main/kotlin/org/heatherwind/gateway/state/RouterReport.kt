package org.heatherwind.gateway.state

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.LongArraySerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import org.heatherwind.core.escrow.HolderCharge
import org.heatherwind.core.escrow.SpendCeiling
import org.heatherwind.gateway.crash.CrashReport
import org.heatherwind.gateway.peer.WitnessReference
import org.heatherwind.gateway.rollout.RolloutReport

/**
 * A router's periodic report to the other routers.
 *
 * @property incarnation the reporting process
 * @property epoch increases with each start on the same instance; the store rejects reports of an earlier epoch
 * @property sequence increases with each report of the process
 * @property epochMilliseconds wall-clock time on the reporting instance, in milliseconds since 1970
 * @property budgets tokens that the process charged and may charge, by customer
 * @property predecessors bounds on the charges of predecessors whose grants are open, by incarnation and customer
 * @property isDraining whether the router drains and accepts no new callers
 * @property isOverloaded whether requests wait for the processor or link of the router, so that it sheds load
 * @property peerAddress IP address and port for calls of other routers, as `host:port`
 * @property relayAddress where the router connects others to targets, as `host:port`, or null if it does not at present
 * @property witness the router that stores its ceilings while the store is unreachable
 * @property crashes crashes of targets that the process, or a predecessor, observed
 * @property rollouts counters of the answers of both versions, by service with a roll-out under way
 */
@Serializable
internal data class RouterReport(
    val incarnation: String,
    val epoch: Long,
    val sequence: Long,
    val epochMilliseconds: Long,
    val budgets: Map<String, BudgetReport> = emptyMap(),
    val predecessors: Map<String, Map<String, ChargeReport>> = emptyMap(),
    @SerialName("isLeaving") val isDraining: Boolean = false,
    val isOverloaded: Boolean = false,
    val peerAddress: String? = null,
    val relayAddress: String? = null,
    val witness: WitnessReference? = null,
    val crashes: List<CrashReport> = emptyList(),
    val rollouts: Map<String, RolloutReport> = emptyMap(),
)

/**
 * A router's report on one budget.
 *
 * @property usedTokens tokens charged, less those received from other routers
 * @property ceilingTokens spend ceiling: [usedTokens] may reach this before the next confirmed report
 * @property growthPerSecond rate of growth of the ceiling while the store is not responding, in tokens per second
 * @property releaseTokens tokens added to the ceiling once, after [SpendCeiling.RELEASE_MILLISECONDS] without a
 *   confirmed report
 * @property availableTokens tokens granted and not committed
 * @property demandPerSecond tokens requested per second
 */
@Serializable(with = BudgetReportSerializer::class)
internal data class BudgetReport(
    val usedTokens: Long,
    val ceilingTokens: Long,
    val growthPerSecond: Long,
    val releaseTokens: Long,
    val availableTokens: Long,
    val demandPerSecond: Long,
) {
    val ceiling: SpendCeiling get() = SpendCeiling(ceilingTokens, growthPerSecond, releaseTokens)
}

/** Serializes a [BudgetReport] as an array of its numbers, to keep reports with many customers small. */
internal object BudgetReportSerializer : KSerializer<BudgetReport> {
    private val numbers = LongArraySerializer()
    private const val NUMBER_COUNT = 6

    override val descriptor: SerialDescriptor = SerialDescriptor("BudgetReport", numbers.descriptor)

    override fun serialize(encoder: Encoder, value: BudgetReport): Unit = encoder.encodeSerializableValue(
        numbers,
        longArrayOf(
            value.usedTokens,
            value.ceilingTokens,
            value.growthPerSecond,
            value.releaseTokens,
            value.availableTokens,
            value.demandPerSecond,
        ),
    )

    override fun deserialize(decoder: Decoder): BudgetReport {
        val decoded = decoder.decodeSerializableValue(numbers)
        if (decoded.size != NUMBER_COUNT) {
            throw SerializationException("a budget report must have $NUMBER_COUNT numbers, got ${decoded.size}")
        }
        val values = decoded.iterator()
        return BudgetReport(
            usedTokens = values.nextLong(),
            ceilingTokens = values.nextLong(),
            growthPerSecond = values.nextLong(),
            releaseTokens = values.nextLong(),
            availableTokens = values.nextLong(),
            demandPerSecond = values.nextLong(),
        )
    }
}

/** Bounds on the tokens that a predecessor charged, as reported by its successor. */
@Serializable
internal data class ChargeReport(val atLeast: Long, val atMost: Long) {
    val charge: HolderCharge get() = HolderCharge(atLeast, atMost)
}
