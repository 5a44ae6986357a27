package org.heatherwind.gateway.state

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.LongArraySerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import org.heatherwind.core.escrow.HolderCharge
import org.heatherwind.core.escrow.SpendCeiling
import org.heatherwind.gateway.peer.WitnessReference

/**
 * What one router tells the others about once a second.
 *
 * @property incarnation the process that reports
 * @property epoch grows with each start on the same instance; the store turns away reports of an earlier one
 * @property sequence grows with each report of the process
 * @property epochMilliseconds time of day on the reporting instance
 * @property budgets what it charged and may charge, by customer
 * @property predecessors what earlier processes on the same instance may have charged, while their grants are open
 * @property isLeaving whether it takes no new callers
 * @property peerAddress IP number and port at which other routers reach it
 * @property witness who keeps its ceilings while the store is out of reach
 */
@Serializable
internal data class RouterReport(
    val incarnation: String,
    val epoch: Long,
    val sequence: Long,
    val epochMilliseconds: Long,
    val budgets: Map<String, BudgetReport> = emptyMap(),
    val predecessors: Map<String, Map<String, ChargeReport>> = emptyMap(),
    val isLeaving: Boolean = false,
    val peerAddress: String? = null,
    val witness: WitnessReference? = null,
)

/**
 * A router's word on one budget.
 *
 * @property usedTokens tokens charged, less those received from other routers
 * @property ceilingTokens how far it may charge until its next word
 * @property growthPerSecond by how much the ceiling grows while the store is silent
 * @property releaseTokens by how much the ceiling rises once after a long silence
 * @property availableTokens tokens granted and not committed
 * @property demandPerSecond tokens asked for per second
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

/** Writes a [BudgetReport] as a list of its numbers, since a report holds one for each customer. */
internal object BudgetReportSerializer : KSerializer<BudgetReport> {
    private val numbers = LongArraySerializer()
    private const val SIZE = 6

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
        val read = decoder.decodeSerializableValue(numbers)
        if (read.size != SIZE) throw SerializationException("a budget of ${read.size} numbers in place of $SIZE")
        val numbers = read.iterator()
        return BudgetReport(
            usedTokens = numbers.nextLong(),
            ceilingTokens = numbers.nextLong(),
            growthPerSecond = numbers.nextLong(),
            releaseTokens = numbers.nextLong(),
            availableTokens = numbers.nextLong(),
            demandPerSecond = numbers.nextLong(),
        )
    }
}

/** A router's word on what an earlier process charged. */
@Serializable
internal data class ChargeReport(val atLeast: Long, val atMost: Long) {
    val charge: HolderCharge get() = HolderCharge(atLeast, atMost)
}
