package org.heatherwind.gateway.state

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.heatherwind.gateway.peer.WitnessReference
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Given a router report, when it is encoded and decoded, then it is unchanged, or rejected if it is malformed. */
class RouterReportTest {
    private val report = RouterReport(
        incarnation = "router-1@5",
        epoch = 3,
        sequence = 17,
        epochMilliseconds = 1_700_000_000_000,
        budgets = mapOf("studio" to BudgetReport(-5, 200, 30, 40, 500, 60)),
        predecessors = mapOf("router-1@4" to mapOf("studio" to ChargeReport(1, 2))),
        isDraining = true,
        peerAddress = "10.0.0.1:7340",
        witness = WitnessReference("router-2@7", "10.0.0.2:7340"),
    )

    private val malformed = listOf(
        "no numbers" to """{"incarnation":"a","epoch":1,"sequence":1,"epochMilliseconds":1,"budgets":{"s":[]}}""",
        "too few numbers" to
            """{"incarnation":"a","epoch":1,"sequence":1,"epochMilliseconds":1,"budgets":{"s":[1,2]}}""",
        "no incarnation" to """{"epoch":1,"sequence":1,"epochMilliseconds":1}""",
        "a truncated JSON document" to "[",
    )

    @Test
    fun `given a report when it is encoded and decoded then it is unchanged`() {
        val text = Json.encodeToString(RouterReport.serializer(), report)
        assertEquals(report, Json.decodeFromString(RouterReport.serializer(), text))
    }

    @TestFactory
    fun `given a malformed report when it is decoded then a serialization exception is thrown`(): List<DynamicTest> =
        malformed.map { (name, text) ->
            DynamicTest.dynamicTest(name) { assertEquals(null, readOrNull(text)) }
        }

    @TestFactory
    fun `given corrupted bytes when decoded then only serialization exceptions are thrown`(): List<DynamicTest> =
        (1..SEEDS).map { seed ->
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
