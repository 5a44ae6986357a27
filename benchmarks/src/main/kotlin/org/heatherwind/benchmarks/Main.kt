package org.heatherwind.benchmarks

import kotlinx.coroutines.runBlocking
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.ledger.LedgerBatch
import org.heatherwind.core.ledger.LedgerFold
import org.heatherwind.core.ledger.toSnapshot
import org.heatherwind.core.routing.Rendezvous
import org.heatherwind.protocol.record.RecordCodec
import kotlin.system.exitProcess

private const val DECISION_COUNT = 50_000
private val BUDGET_SIZES = listOf(1_000, 4_000, 16_000)
private val BATCH_SIZES = listOf(8, 64, 512)
private val FLEET_SIZES = listOf(9, 90, 360)
private const val MICROSECONDS_PER_SECOND = 1_000_000.0
private const val REPETITIONS = 2_000

/** Measures and prints the costs per unit from which the figures in docs/CAPACITY.md are calculated. */
public fun main() {
    measureLedgerMemory()
    measureDecisions()
    measureRecords()
    measureRanking()
    runBlocking { AddedLatency().measure() }
    exitProcess(0)
}

private fun measureDecisions() {
    BUDGET_SIZES.forEach { size ->
        val ledgers = BenchmarkLedgers(size)
        val state = ledgers.ownerState()
        val cost = Measurement.microsecondsPerOperation(DECISION_COUNT) {
            ledgers.reserveAndSettle(state, DECISION_COUNT)
        }
        println(
            "reserve and settle, $size budgets: %.3f microseconds, %.0f pairs a second".format(
                cost,
                MICROSECONDS_PER_SECOND / cost,
            ),
        )
    }
}

private fun measureLedgerMemory() {
    val points = BUDGET_SIZES.map { size ->
        CostPoint(size.toDouble(), Measurement.retainedBytes { BenchmarkLedgers(size).ledger() })
    }
    points.forEach { println("ledger of ${it.size.toInt()} budgets: %.0f bytes".format(it.cost)) }
    println("slope: %.0f bytes a budget".format(LinearFit.through(points).costPerUnit))
    val snapshots = BUDGET_SIZES.map { size ->
        val bytes = RecordCodec.ledgerSnapshot.encode(BenchmarkLedgers(size).ledger().toSnapshot()).size
        CostPoint(size.toDouble(), bytes.toDouble())
    }
    println("snapshot: %.0f bytes a budget".format(LinearFit.through(snapshots).costPerUnit))
}

private fun measureRecords() {
    val ledgers = BenchmarkLedgers(budgets = 1_000)
    val start = ledgers.ownerState()
    val points = BATCH_SIZES.map { size ->
        val records = ledgers.reserveAndSettle(start, size)
        val batch = LedgerBatch(Incarnation("router-1@1"), 1, records)
        val bytes = RecordCodec.ledgerBatch.encode(batch)
        val encoding = Measurement.microsecondsPerOperation(REPETITIONS * size) {
            repeat(REPETITIONS) { RecordCodec.ledgerBatch.encode(batch) }
        }
        val folding = Measurement.microsecondsPerOperation(REPETITIONS * size) {
            repeat(REPETITIONS) { index ->
                RecordCodec.ledgerBatch.decode(bytes)
                LedgerFold.fold(start.ledger, start.ledger.through + 1, batch.copy(sequence = index + 1L))
            }
        }
        println("batch of $size requests: ${bytes.size} bytes")
        println("  encode %.2f, decode and fold %.2f microseconds a request".format(encoding, folding))
        CostPoint(size.toDouble(), bytes.size.toDouble())
    }
    println("slope: %.0f bytes a request".format(LinearFit.through(points).costPerUnit))
}

private fun measureRanking() {
    FLEET_SIZES.forEach { size ->
        val routers = List(size) { "router-$it" }
        val cost = Measurement.microsecondsPerOperation(REPETITIONS) {
            repeat(REPETITIONS) { Rendezvous.rank("shard-$it", routers) { name -> name } }
        }
        println("ranking of $size routers: %.1f microseconds".format(cost))
    }
}
