package org.heatherwind.gateway.state

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.heatherwind.gateway.peer.WitnessReference
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Given reports of routers, when they are written and read, then they are the same or are refused as unreadable. */
class RouterReportTest {
    private val report = RouterReport(
        incarnation = "router-1@5",
        epoch = 3,
        sequence = 17,
        epochMilliseconds = 1_700_000_000_000,
        budgets = mapOf("studio" to BudgetReport(-5, 200, 30, 40, 500, 60)),
        predecessors = mapOf("router-1@4" to mapOf("studio" to ChargeReport(1, 2))),
        isLeaving = true,
        peerAddress = "10.0.0.1:7340",
        witness = WitnessReference("router-2@7", "10.0.0.2:7340"),
    )

    private val unreadable = listOf(
        "no numbers" to """{"incarnation":"a","epoch":1,"sequence":1,"epochMilliseconds":1,"budgets":{"s":[]}}""",
        "too few numbers" to
            """{"incarnation":"a","epoch":1,"sequence":1,"epochMilliseconds":1,"budgets":{"s":[1,2]}}""",
        "no incarnation" to """{"epoch":1,"sequence":1,"epochMilliseconds":1}""",
        "no document" to "[",
    )

    @Test
    fun `a report is read as it was written`() {
        val text = Json.encodeToString(RouterReport.serializer(), report)
        assertEquals(report, Json.decodeFromString(RouterReport.serializer(), text))
    }

    @TestFactory
    fun `an unreadable report is refused`(): List<DynamicTest> = unreadable.map { (name, text) ->
        DynamicTest.dynamicTest(name) { assertEquals(null, readOrNull(text)) }
    }

    @TestFactory
    fun `spoiled bytes raise nothing else`(): List<DynamicTest> = (1..SEEDS).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val random = Random(seed)
            val bytes = Json.encodeToString(RouterReport.serializer(), report).encodeToByteArray()
            repeat(random.nextInt(1, 6)) { bytes[random.nextInt(bytes.size)] = random.nextInt(32, 127).toByte() }
            readOrNull(bytes.decodeToString())
        }
    }

    private fun readOrNull(text: String): RouterReport? = try {
        Json.decodeFromString(RouterReport.serializer(), text)
    } catch (_: SerializationException) {
        null
    }

    private companion object {
        const val SEEDS = 50
    }
}
